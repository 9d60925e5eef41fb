#include "ibisgate/ibisgatectl/command.h"

int cmd_exception_end(struct ctl *ctl, int argc, char **argv)
{
	return command_delete_key(ctl, argc, argv, "exception/", "ID", "exception to end");
}
