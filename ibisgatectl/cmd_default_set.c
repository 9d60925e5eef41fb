#include <argtable2.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

int cmd_default_set(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name =
		arg_str1(NULL, NULL, "SETTING", "name of the setting; see default-list");
	struct arg_str *text = arg_str1(NULL, NULL, "VALUE", "number or word");
	struct arg_int *version =
		arg_int0("i", "if-version", "N",
			 "reject the change unless the configuration has this version");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, name, text, version, end };
	int64_t if_version;
	int code;

	if (!command_parse(ctl, argc, argv, table, 5, &code))
		goto out;
	code = CTL_USAGE;
	if (command_if_version(ctl, version, &if_version))
		code = ctl_change(ctl, "default/", name->sval[0], json_from_text(text->sval[0]),
				  if_version);
out:
	arg_freetable(table, 5);
	return code;
}
