#include <argtable2.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

static json_t *model_assignment_json(const struct ctl *ctl, const char *model, const char *reason)
{
	return json_pack("{s:s,s:s,s:s}", "model", model, "reason", reason, "author", ctl->author);
}

static int usage_error(const struct ctl *ctl, const char *problem)
{
	fprintf(stderr, "%s: %s\nTry \"ibisgatectl %s --help\".\n", ctl->command->name, problem,
		ctl->command->name);
	return CTL_USAGE;
}

int cmd_endpoint_model(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "name of the endpoint");
	struct arg_str *model = arg_str0("m", "model", "MODEL", "model to load; requires --reason");
	struct arg_str *reason =
		arg_str0("r", "reason", "TEXT", "reason for the change; required with --model");
	struct arg_lit *remove_assignment =
		arg_lit0(NULL, "end", "remove the assignment; the endpoint keeps its loaded model");
	struct arg_int *version =
		arg_int0("i", "if-version", "N",
			 "reject the change unless the configuration has this version");
	struct arg_end *end = arg_end(6);
	void *table[] = { help, name, model, reason, remove_assignment, version, end };
	int64_t if_version;
	int code;

	if (!command_parse(ctl, argc, argv, table, 7, &code))
		goto out;
	if (model->count == remove_assignment->count || reason->count != model->count) {
		code = usage_error(ctl, "expected --model with --reason, or --end without them");
		goto out;
	}
	code = CTL_USAGE;
	if (!command_if_version(ctl, version, &if_version))
		goto out;
	if (remove_assignment->count)
		code = ctl_delete(ctl, "model/", name->sval[0], if_version);
	else
		code = ctl_change(ctl, "model/", name->sval[0],
				  model_assignment_json(ctl, model->sval[0], reason->sval[0]),
				  if_version);
out:
	arg_freetable(table, 7);
	return code;
}
