#include <argtable2.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

int cmd_endpoint_drain(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "endpoint to drain");
	struct arg_str *reason = arg_str1("r", "reason", "TEXT", "reason for the drain; required");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, name, reason, end };
	int code;

	if (!command_parse(ctl, argc, argv, table, 4, &code))
		goto out;
	code = ctl_change(ctl, "drain/", name->sval[0],
			  json_pack("{s:s,s:s}", "reason", reason->sval[0], "author", ctl->author),
			  CTL_ANY_VERSION);
out:
	arg_freetable(table, 4);
	return code;
}
