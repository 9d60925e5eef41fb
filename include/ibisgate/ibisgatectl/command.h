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
 * @CTL_OK: done
 * @CTL_REFUSED: the instance refused the request; nothing was changed
 * @CTL_USAGE: wrong arguments
 * @CTL_UNREACHABLE: no instance answered; nothing was changed
 * @CTL_CONFLICT: another operator's change won
 * @CTL_UNKNOWN: the change may or may not be in force
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
 * struct ctl - options that hold for every command
 * @admin: addresses "ip:port" of admin listeners, tried in order
 * @token: operator's token
 * @author: name recorded with a change
 * @json: print JSON for programs
 * @command: command being run, for messages
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
 * @name: object-first, e.g. "endpoint-drain"
 * @summary: one line for the list of commands
 * @run: argv[0] is the command's name; returns an enum ctl_exit
 */
struct command {
	const char *name;
	const char *summary;
	int (*run)(struct ctl *ctl, int argc, char **argv);
};

/** command_table - all commands, ended by a NULL name; the one place that lists them */
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
 * Return: true to go on; false after help or errors were printed, with the exit code in @code.
 */
bool command_parse(struct ctl *ctl, int argc, char **argv, void **table, int count, int *code);

/**
 * ctl_call - request to an admin listener
 * @address: "ip:port"; NULL tries all of ctl->admin until one accepts the connection
 * @body: sent with POST when not NULL, borrowed
 * @out: JSON of the answer, new reference, NULL when there is none
 *
 * Return: HTTP status; 0 when no instance answered and nothing was sent; -1 when the request was
 * sent and no answer came.
 */
int ctl_call(struct ctl *ctl, const char *address, const char *path, const json_t *body,
	     json_t **out);

/** ctl_config - current configuration; NULL after an error was printed, with @code set */
json_t *ctl_config(struct ctl *ctl, int *code);

/**
 * ctl_change - commit one configuration change and print the result
 * @prefix: kind of the key with its slash, e.g. "drain/"; @name is the rest of the key
 * @value: stolen reference; NULL, as jansson makes it of text that is not UTF-8, is a usage error
 * @if_version: version that the change is based on; CTL_ANY_VERSION takes the current one
 */
int ctl_change(struct ctl *ctl, const char *prefix, const char *name, json_t *value,
	       int64_t if_version);

/** ctl_delete - commit the deletion of one key and print the result */
int ctl_delete(struct ctl *ctl, const char *prefix, const char *name, int64_t if_version);

/**
 * command_if_version - version given by the option --if-version
 *
 * Return: false for a negative number, with the problem printed.
 */
bool command_if_version(const struct ctl *ctl, const struct arg_int *version, int64_t *out);

/**
 * command_delete_key - command whose only argument names a configuration key to delete
 * @prefix: kind of key, e.g. "drain/"
 * @datatype: argument's name in the help
 * @glossary: argument's description
 */
int command_delete_key(struct ctl *ctl, int argc, char **argv, const char *prefix,
		       const char *datatype, const char *glossary);

/**
 * command_show_config - command without arguments that prints something made from the configuration
 * @make: what to print, from {"version","items"}; new reference
 * @print: prints it for people; with --json it is printed as it is
 */
int command_show_config(struct ctl *ctl, int argc, char **argv, json_t *(*make)(json_t *config),
			void (*print)(const json_t *value));

/** ctl_members - admin addresses of all live instances, from the status of one; false on error */
bool ctl_members(struct ctl *ctl, char (*out)[64], int *count, int *code);

/** ctl_print_json - print @value indented */
void ctl_print_json(const json_t *value);

/** ctl_failed - print the error of an answer and turn its status into an exit code */
int ctl_failed(struct ctl *ctl, int status, const json_t *answer);

#endif
