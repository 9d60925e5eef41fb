#ifndef IBISGATE_IBISGATECTL_COMMAND_H
#define IBISGATE_IBISGATECTL_COMMAND_H

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

#define CTL_INSTANCES_MAX 512
#define CTL_ANY_VERSION (-1)

/**
 * enum ctl_exit - exit codes, documented in ibisgatectl(1)
 * @CTL_OK: success
 * @CTL_REFUSED: the instance rejected the request; nothing was changed
 * @CTL_USAGE: invalid arguments
 * @CTL_UNREACHABLE: no instance responded; nothing was changed
 * @CTL_CONFLICT: the change conflicts with one that another operator made first
 * @CTL_UNKNOWN: the request was sent without a definite result; the change may have been applied
 */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,
	CTL_USAGE = 2,
	CTL_UNREACHABLE = 3,
	CTL_CONFLICT = 4,
	CTL_UNKNOWN = 5,
};

/**
 * struct ctl - options common to all commands
 * @admin: addresses "ip:port" of admin listeners, tried in this order
 * @token: bearer token of the operator
 * @author: name recorded with a change
 * @json: print JSON instead of text
 * @command: command being run, named in messages
 */
struct ctl {
	char admin[CTL_INSTANCES_MAX][64];
	int admin_count;
	char token[128];
	char author[64];
	bool json;
	const struct command *command;
};

/**
 * struct command - one operator command
 * @name: object first, then the action, e.g. "endpoint-drain"
 * @summary: one-line description for the list of commands
 * @run: argv[0] is the command's name; returns an enum ctl_exit
 */
struct command {
	const char *name;
	const char *summary;
	int (*run)(struct ctl *ctl, int argc, char **argv);
};

/**
 * command_table - all commands, terminated by a NULL name
 *
 * The help, the shell completion and the lookup of commands all use this table.
 */
extern const struct command command_table[];

const struct command *command_find(const char *name);

int cmd_completion(struct ctl *ctl, int argc, char **argv);
int cmd_config_show(struct ctl *ctl, int argc, char **argv);
int cmd_default_list(struct ctl *ctl, int argc, char **argv);
int cmd_default_set(struct ctl *ctl, int argc, char **argv);
int cmd_endpoint_drain(struct ctl *ctl, int argc, char **argv);
int cmd_endpoint_model(struct ctl *ctl, int argc, char **argv);
int cmd_endpoint_return(struct ctl *ctl, int argc, char **argv);
int cmd_exception_add(struct ctl *ctl, int argc, char **argv);
int cmd_exception_end(struct ctl *ctl, int argc, char **argv);
int cmd_exception_list(struct ctl *ctl, int argc, char **argv);
int cmd_explain(struct ctl *ctl, int argc, char **argv);
int cmd_instance_drain(struct ctl *ctl, int argc, char **argv);
int cmd_organisation_create(struct ctl *ctl, int argc, char **argv);
int cmd_preset_apply(struct ctl *ctl, int argc, char **argv);
int cmd_service_create(struct ctl *ctl, int argc, char **argv);
int cmd_status(struct ctl *ctl, int argc, char **argv);
int cmd_timeline(struct ctl *ctl, int argc, char **argv);
int cmd_trace(struct ctl *ctl, int argc, char **argv);

/**
 * command_parse - parse the arguments of a command with argtable
 * @table: argtable whose first entry is "arg_lit0("h", "help", ...)" and last entry an arg_end
 * @count: entries of @table
 *
 * Return: true when the command is to run; false after help or errors were printed, with the exit
 * code in @code.
 */
bool command_parse(struct ctl *ctl, int argc, char **argv, void **table, int count, int *code);

/**
 * ctl_call - send a request to an admin listener
 * @address: "ip:port"; NULL tries the addresses of ctl->admin in order until one responds. A
 *	request with a body is not sent to another address once it may have been received.
 * @body: sent with POST, borrowed; NULL for GET
 * @out: JSON of the response, new reference; NULL without a JSON response
 *
 * Return: HTTP status; 0 when no instance was reached or, for a read without @address, when none
 * responded; -1 when the request may have been sent and no response was received.
 */
int ctl_call(struct ctl *ctl, const char *address, const char *path, const json_t *body,
	     json_t **out);

/**
 * ctl_fetch_config - fetch the current configuration
 *
 * Return: new reference; NULL after an error was printed, with the exit code in @code.
 */
json_t *ctl_fetch_config(struct ctl *ctl, int *code);

/**
 * ctl_change - commit one configuration change and print the result
 * @prefix: start of the key up to the slash, e.g. "drain/"
 * @name: rest of the key
 * @value: stolen reference; NULL is a usage error, because jansson returns NULL for text that is
 *	not UTF-8
 * @if_version: version that the change is based on; CTL_ANY_VERSION for the current one
 *
 * Return: an enum ctl_exit.
 */
int ctl_change(struct ctl *ctl, const char *prefix, const char *name, json_t *value,
	       int64_t if_version);

/** ctl_delete - commit the deletion of one key and print the result */
int ctl_delete(struct ctl *ctl, const char *prefix, const char *name, int64_t if_version);

/**
 * command_if_version - read the option --if-version
 * @out: set to the version; CTL_ANY_VERSION without the option
 *
 * Return: false for a negative number, after an error was printed.
 */
bool command_if_version(const struct ctl *ctl, const struct arg_int *version, int64_t *out);

/**
 * command_delete_key - run a command whose only argument is the name of a key to delete
 * @prefix: start of the key up to the slash, e.g. "drain/"
 * @datatype: name of the argument in the help
 * @glossary: description of the argument in the help
 */
int command_delete_key(struct ctl *ctl, int argc, char **argv, const char *prefix,
		       const char *datatype, const char *glossary);

/**
 * command_show_config - run a command without arguments that prints a view of the configuration
 * @build: builds the view from {"version","items"} and returns a new reference
 * @print: prints the view as text; with --json the view is printed unchanged
 */
int command_show_config(struct ctl *ctl, int argc, char **argv, json_t *(*build)(json_t *config),
			void (*print)(const json_t *value));

/**
 * ctl_live_admin_addresses - list the admin addresses of all live instances
 *
 * The addresses come from the status of one instance.
 *
 * Return: false after an error was printed, with the exit code in @code.
 */
bool ctl_live_admin_addresses(struct ctl *ctl, char (*out)[64], int *count, int *code);

/** ctl_print_json - print @value as indented JSON */
void ctl_print_json(const json_t *value);

/**
 * ctl_report_failure - print the error of a response
 * @status: as returned by ctl_call()
 *
 * Return: the enum ctl_exit for @status.
 */
int ctl_report_failure(struct ctl *ctl, int status, const json_t *response);

#endif
