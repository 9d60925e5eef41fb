#include <argtable2.h>
#include <string.h>

#include "ibisgate/ibisgatectl/command.h"

const struct command command_table[] = {
	{ "status", "instances, endpoints, leases and configuration version", cmd_status },
	{ "timeline", "events of all instances, merged by time and filtered", cmd_timeline },
	{ "trace", "log lines of one request, endpoint or instance, sorted by time", cmd_trace },
	{ "explain", "where a described request would go now, and why", cmd_explain },
	{ "config-show", "complete configuration", cmd_config_show },
	{ "organisation-create", "create or replace an organisation", cmd_organisation_create },
	{ "service-create", "create or replace a service", cmd_service_create },
	{ "default-set", "set a fleet-wide default", cmd_default_set },
	{ "default-list", "settings with their effective values", cmd_default_list },
	{ "exception-add", "add an exception with a reason", cmd_exception_add },
	{ "exception-list", "exceptions and the defaults they override", cmd_exception_list },
	{ "exception-end", "end an exception", cmd_exception_end },
	{ "endpoint-drain", "send no new work to an endpoint", cmd_endpoint_drain },
	{ "endpoint-return", "return a drained endpoint to service", cmd_endpoint_return },
	{ "endpoint-model", "load a model on an endpoint", cmd_endpoint_model },
	{ "instance-drain", "shut an instance down gracefully", cmd_instance_drain },
	{ "preset-apply", "set the fleet-wide defaults listed in a file", cmd_preset_apply },
	{ "completion", "print the shell completion for bash", cmd_completion },
	{ 0 },
};

const struct command *command_find(const char *name)
{
	for (const struct command *c = command_table; c->name; c++) {
		if (strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

bool command_parse(struct ctl *ctl, int argc, char **argv, void **table, int count, int *code)
{
	const struct arg_lit *help = table[0];
	struct arg_end *end = table[count - 1];
	int problems = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: ibisgatectl %s", ctl->command->name);
		arg_print_syntax(stdout, table, "\n\n");
		printf("%s\n\n", ctl->command->summary);
		arg_print_glossary_gnu(stdout, table);
		*code = CTL_OK;
		return false;
	}
	if (problems) {
		arg_print_errors(stderr, end, ctl->command->name);
		fprintf(stderr, "Try \"ibisgatectl %s --help\".\n", ctl->command->name);
		*code = CTL_USAGE;
		return false;
	}
	return true;
}

bool command_if_version(const struct ctl *ctl, const struct arg_int *version, int64_t *out)
{
	*out = version->count ? version->ival[0] : CTL_ANY_VERSION;
	if (!version->count || version->ival[0] >= 0)
		return true;
	fprintf(stderr, "%s: --if-version: expected 0 or more\n", ctl->command->name);
	return false;
}

int command_delete_key(struct ctl *ctl, int argc, char **argv, const char *prefix,
		       const char *datatype, const char *glossary)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, datatype, glossary);
	struct arg_end *end = arg_end(4);
	void *table[] = { help, name, end };
	int code;

	if (!command_parse(ctl, argc, argv, table, 3, &code))
		goto out;
	code = ctl_delete(ctl, prefix, name->sval[0], CTL_ANY_VERSION);
out:
	arg_freetable(table, 3);
	return code;
}

int command_show_config(struct ctl *ctl, int argc, char **argv, json_t *(*build)(json_t *config),
			void (*print)(const json_t *value))
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, end };
	json_t *config = NULL;
	json_t *value = NULL;
	int code = CTL_OK;

	if (!command_parse(ctl, argc, argv, table, 2, &code))
		goto out;
	config = ctl_fetch_config(ctl, &code);
	if (!config)
		goto out;
	value = build(config);
	if (ctl->json)
		ctl_print_json(value);
	else
		print(value);
out:
	json_decref(value);
	json_decref(config);
	arg_freetable(table, 2);
	return code;
}
