#include "ibisgate/common/ablation.h"

#ifdef IBISGATE_ABLATION

#include <pthread.h>
#include <stdlib.h>

#include "ibisgate/common/str.h"

static const char *const mechanism_names[] = {
	"lease_check",	    "fencing",	"intent",     "drain_ack",  "claim",
	"claim_doubt",	    "not_run",	"resume",     "attempt_id", "config_cas",
	"config_monotonic", "graceful", "quarantine", "silence",    "salt",
};

#define MECHANISM_COUNT (sizeof(mechanism_names) / sizeof(mechanism_names[0]))

static pthread_once_t ablate_once = PTHREAD_ONCE_INIT;
static bool is_ablated[MECHANISM_COUNT];

static void ablate_env_parse(void)
{
	const char *text = getenv("IBISGATE_ABLATE");
	struct str rest = str_from(text ? text : "");

	while (rest.len) {
		struct str name = str_split(&rest, ',');

		for (size_t i = 0; i < MECHANISM_COUNT; i++) {
			if (str_eq_cstr(name, mechanism_names[i]))
				is_ablated[i] = true;
		}
	}
}

bool mechanism_is_disabled(enum mechanism m)
{
	pthread_once(&ablate_once, ablate_env_parse);
	return is_ablated[m];
}

#endif
