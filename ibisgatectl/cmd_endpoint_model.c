#include <argtable2.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

static json_t *make_order(const struct ctl *ctl, const char *model, const char *reason)
{
	return json_pack("{s:s,s:s,s:s}", "model", model, "reason", reason, "author", ctl->author);
}

static int usage(const struct ctl *ctl, const char *problem)
{
	fprintf(stderr, "%s: %s\nTry \"ibisgatectl %s --help\".\n", ctl->command->name, problem,
		ctl->command->name);
	return CTL_USAGE;
}

int cmd_endpoint_model(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "endpoint");
	struct arg_str *model = arg_str0("m", "model", "MODEL", "model to load; needs --reason");
	struct arg_str *reason = arg_str0("r", "reason", "TEXT", "why; required with --model");
	struct arg_lit *undo = arg_lit0(NULL, "end", "end it; the endpoint keeps what it has");
	struct arg_int *version = arg_int0("i", "if-version", "N",
					   "refuse unless the configuration is at this version");
	struct arg_end *end = arg_end(6);
	void *table[] = { help, name, model, reason, undo, version, end };
	json_t *value;
	char key[256]; /* longer than any valid key: a cut name is refused, not another one used */
	int code;

	if (!command_parse(ctl, argc, argv, table, 7, &code))
		goto out;
	if (model->count == undo->count || reason->count != model->count) {
		code = usage(ctl, "expected --model with --reason, or --end alone");
		goto out;
	}
	value = model->count ? make_order(ctl, model->sval[0], reason->sval[0]) : NULL;
	/* Without a value ctl_change() would delete the key. */
	if (model->count && !value) {
		code = usage(ctl, "expected model, reason and author in UTF-8");
		goto out;
	}
	snprintf(key, sizeof(key), "model/%s", name->sval[0]);
	code = ctl_change(ctl, key, value, version->count ? version->ival[0] : -1);
out:
	arg_freetable(table, 7);
	return code;
}
