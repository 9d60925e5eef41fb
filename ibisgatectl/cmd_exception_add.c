#include <argtable2.h>
#include <inttypes.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

#define MS_PER_HOUR 3600000LL
#define DEFAULT_HOURS 24

int cmd_exception_add(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "name of the exception");
	struct arg_str *scope = arg_str1(
		"s", "scope", "SCOPE", "endpoint/NAME, organisation/NAME, service/NAME or dc/NAME");
	struct arg_str *setting = arg_str1(NULL, "setting", "SETTING", "setting to override");
	struct arg_str *text =
		arg_str1(NULL, "value", "VALUE", "value of the setting within the scope");
	struct arg_str *reason = arg_str1("r", "reason", "TEXT", "reason for the change; required");
	struct arg_int *hours =
		arg_int0(NULL, "hours", "N", "hours until the exception expires, default 24");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, id, scope, setting, text, reason, hours, end };
	json_t *value;
	int64_t expires;
	int code;

	if (!command_parse(ctl, argc, argv, table, 8, &code))
		goto out;
	expires = clock_wall_ms() + (hours->count ? hours->ival[0] : DEFAULT_HOURS) * MS_PER_HOUR;
	value = json_pack("{s:s,s:s,s:o,s:s,s:s,s:I}", "scope", scope->sval[0], "setting",
			  setting->sval[0], "value", json_from_text(text->sval[0]), "reason",
			  reason->sval[0], "author", ctl->author, "expiry", (json_int_t)expires);
	code = ctl_change(ctl, "exception/", id->sval[0], value, CTL_ANY_VERSION);
out:
	arg_freetable(table, 8);
	return code;
}
