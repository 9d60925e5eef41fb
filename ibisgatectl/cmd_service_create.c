#include <argtable2.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

static void set_limit(json_t *value, const char *key, const struct arg_int *arg)
{
	if (arg->count)
		json_object_set_new(value, key, json_integer(arg->ival[0]));
}

int cmd_service_create(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "name of the service");
	struct arg_str *model = arg_str0("m", "model", "MODEL",
					 "model to serve; without this option, a plain service");
	struct arg_lit *idem = arg_lit0("i", "idempotent", "calls may be retried");
	struct arg_str *class =
		arg_str0("c", "class", "CLASS", "urgent, normal or background; default normal");
	struct arg_int *total =
		arg_int0(NULL, "deadline-ms", "MS", "limit for the complete response");
	struct arg_int *first =
		arg_int0(NULL, "first-token-ms", "MS", "limit for the time to first token");
	struct arg_int *gap =
		arg_int0(NULL, "gap-ms", "MS", "limit for the mean time between tokens");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, name, model, idem, class, total, first, gap, end };
	json_t *value;
	int code;

	if (!command_parse(ctl, argc, argv, table, 9, &code))
		goto out;
	value = json_pack("{s:s,s:b,s:s}", "kind", model->count ? "model" : "plain", "idempotent",
			  idem->count || model->count, "class",
			  class->count ? class->sval[0] : "normal");
	if (model->count)
		json_object_set_new(value, "model", json_string(model->sval[0]));
	set_limit(value, "deadline_ms", total);
	set_limit(value, "first_token_ms", first);
	set_limit(value, "gap_ms", gap);
	code = ctl_change(ctl, "service/", name->sval[0], value, CTL_ANY_VERSION);
out:
	arg_freetable(table, 9);
	return code;
}
