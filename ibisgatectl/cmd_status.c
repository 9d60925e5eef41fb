#include <argtable2.h>
#include <inttypes.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

static void print_members(const json_t *status)
{
	const json_t *m;
	size_t i;

	printf("%-16s %-12s %-10s %-8s %-9s %s\n", "INSTANCE", "DATA CENTRE", "STATE", "CONFIG",
	       "HEARS US", "HTTP");
	json_array_foreach(json_object_get(status, "members"), i, m) {
		printf("%-16s %-12s %-10s %-8" PRId64 " %-9s %s\n", json_get_cstr(m, "id", ""),
		       json_get_cstr(m, "dc", ""), json_get_cstr(m, "state", ""),
		       json_get_i64(m, "config_version", 0),
		       json_get_bool(m, "hears_us", true) ? "yes" : "no",
		       json_get_cstr(m, "http", ""));
	}
}

static void print_endpoints(const json_t *status)
{
	const json_t *e;
	size_t i;

	printf("\n%-16s %-12s %-16s %-8s %-9s %-10s %s\n", "ENDPOINT", "DATA CENTRE", "MODEL",
	       "ROLE", "IN FLIGHT", "CIRCUIT", "STOPPED BY");
	json_array_foreach(json_object_get(status, "endpoints"), i, e) {
		const char *stop = json_get_cstr(e, "stop_order", "");

		if (!stop[0] && json_get_bool(e, "leaving", false))
			stop = "platform";
		printf("%-16s %-12s %-16s %-8s %-9" PRId64 " %-10s %s\n",
		       json_get_cstr(e, "name", ""), json_get_cstr(e, "dc", ""),
		       json_get_cstr(e, "model", ""), json_get_cstr(e, "role", ""),
		       json_get_i64(e, "in_flight", 0), json_get_cstr(e, "circuit", ""),
		       stop[0] ? stop : "-");
	}
}

static void print_leases(const json_t *status)
{
	const json_t *l;
	size_t i;

	printf("\n%-12s %-16s %-8s %s\n", "LEASE", "HOLDER", "FENCING", "HELD HERE");
	json_array_foreach(json_object_get(status, "leases"), i, l) {
		printf("%-12s %-16s %-8" PRId64 " %s\n", json_get_cstr(l, "dc", ""),
		       json_get_cstr(l, "holder", ""), json_get_i64(l, "fencing", 0),
		       json_get_bool(l, "held", false) ? "yes" : "no");
	}
}

static void print_status(const json_t *status)
{
	int64_t down = json_get_i64(status, "platform_down_since_ms", 0);

	printf("instance %s in %s/%s: %s, configuration version %" PRId64 "\n",
	       json_get_cstr(status, "instance", ""), json_get_cstr(status, "region", ""),
	       json_get_cstr(status, "dc", ""), json_get_cstr(status, "state", ""),
	       json_get_i64(status, "config_version", 0));
	if (down)
		printf("ALARM platform has not responded since %" PRId64 " ms on the boot clock\n",
		       down);
	printf("\n");
	print_members(status);
	print_endpoints(status);
	print_leases(status);
}

int cmd_status(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, end };
	json_t *response = NULL;
	int code = CTL_OK;
	int status;

	if (!command_parse(ctl, argc, argv, table, 2, &code))
		goto out;
	status = ctl_call(ctl, NULL, "/admin/status", NULL, &response);
	if (status != 200)
		code = ctl_report_failure(ctl, status, response);
	else if (ctl->json)
		ctl_print_json(response);
	else
		print_status(response);
out:
	json_decref(response);
	arg_freetable(table, 2);
	return code;
}
