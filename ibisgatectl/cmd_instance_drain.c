#include <argtable2.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

/* Finds the admin address of the instance @id. Returns false after an error was printed. */
static bool find_instance(struct ctl *ctl, const char *id, char *out, size_t size, int *code)
{
	json_t *response;
	const json_t *member;
	size_t i;
	int status = ctl_call(ctl, NULL, "/admin/status", NULL, &response);
	bool found = false;

	if (status != 200) {
		*code = ctl_report_failure(ctl, status, response);
		goto out;
	}
	json_array_foreach(json_object_get(response, "members"), i, member) {
		if (strcmp(json_get_cstr(member, "id", ""), id) == 0)
			found = str_copy(out, size, str_from(json_get_cstr(member, "admin", "")));
	}
	if (!found) {
		fprintf(stderr, "ibisgatectl: unknown instance \"%s\"\n", id);
		*code = CTL_REFUSED;
	}
out:
	json_decref(response);
	return found;
}

int cmd_instance_drain(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "instance to shut down");
	struct arg_str *reason = arg_str1("r", "reason", "TEXT", "reason for the drain; required");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, id, reason, end };
	json_t *body = NULL;
	json_t *response = NULL;
	char address[64];
	int status;
	int code;

	if (!command_parse(ctl, argc, argv, table, 4, &code) ||
	    !find_instance(ctl, id->sval[0], address, sizeof(address), &code))
		goto out;
	body = json_pack("{s:s,s:s}", "reason", reason->sval[0], "author", ctl->author);
	status = ctl_call(ctl, address, "/admin/drain", body, &response);
	code = CTL_OK;
	if (status != 202)
		code = ctl_report_failure(ctl, status, response);
	else if (ctl->json)
		ctl_print_json(response);
	else
		printf("%s: draining\n", id->sval[0]);
out:
	json_decref(response);
	json_decref(body);
	arg_freetable(table, 4);
	return code;
}
