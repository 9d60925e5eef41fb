#include "ibisgate/ibisgatectl/command.h"

int cmd_endpoint_return(struct ctl *ctl, int argc, char **argv)
{
	return command_delete_key(ctl, argc, argv, "drain/", "NAME",
				  "endpoint to return to service");
}
