#include "ibisgate/common/ablation.h"

#ifdef IBISGATE_ABLATION

#include <pthread.h>
#include <stdlib.h>

#include "ibisgate/common/str.h"

static const char *const names[] = {
	"lease_check",	    "fencing",	"intent",     "drain_ack",  "claim",
	"claim_doubt",	    "not_run",	"resume",     "attempt_id", "config_cas",
	"config_monotonic", "graceful", "quarantine", "silence",    "salt",
};

#define COUNT (sizeof(names) / sizeof(names[0]))

static pthread_once_t once = PTHREAD_ONCE_INIT;
static bool off[COUNT];

static void read_names(void)
{
	const char *text = getenv("IBISGATE_ABLATE");
	struct str rest = str_from(text ? text : "");

	while (rest.len) {
		struct str name = str_split(&rest, ',');

		for (size_t i = 0; i < COUNT; i++) {
			if (str_eq_cstr(name, names[i]))
				off[i] = true;
		}
	}
}

bool ablated(enum mechanism m)
{
	pthread_once(&once, read_names);
	return off[m];
}

#endif
