#include <curl/curl.h>
#include <getopt.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/ibisgatectl/command.h"

static void print_usage(FILE *out)
{
	fprintf(out,
		"Usage: ibisgatectl [-a ADDRESS[,ADDRESS...]] [-t FILE] [-u AUTHOR] [--json]"
		" COMMAND [ARGUMENTS]\n\n"
		"  -a, --admin=LIST       addresses of admin listeners; default $IBISGATE_ADMIN\n"
		"  -t, --token-file=FILE  file with the bearer token of the operator;"
		" default $IBISGATE_TOKEN_FILE\n"
		"  -u, --author=NAME      author recorded with changes; default $USER\n"
		"      --json             print JSON instead of text\n"
		"  -h, --help             print this help\n\nCommands:\n");
	for (const struct command *c = command_table; c->name; c++)
		fprintf(out, "  %-20s %s\n", c->name, c->summary);
	fprintf(out,
		"\n\"ibisgatectl COMMAND --help\" describes a command; see also ibisgatectl(1).\n");
}

static bool read_token(struct ctl *ctl, const char *path)
{
	FILE *f = fopen(path, "re");
	struct str token;
	size_t n;

	if (!f) {
		fprintf(stderr, "ibisgatectl: %s: cannot be read\n", path);
		return false;
	}
	n = fread(ctl->token, 1, sizeof(ctl->token), f);
	fclose(f);
	if (n == sizeof(ctl->token)) {
		fprintf(stderr, "ibisgatectl: %s: expected a token of fewer than %zu bytes\n", path,
			sizeof(ctl->token));
		return false;
	}
	token = str_trim((struct str){ .data = ctl->token, .len = n });
	memmove(ctl->token, token.data, token.len);
	ctl->token[token.len] = '\0';
	return true;
}

static bool parse_admin(struct ctl *ctl, const char *list)
{
	struct str rest = str_from(list);

	while (rest.len) {
		struct str address = str_trim(str_split(&rest, ','));

		if (!address.len)
			continue;
		if (ctl->admin_count == CTL_INSTANCES_MAX ||
		    !str_copy(ctl->admin[ctl->admin_count], sizeof(ctl->admin[0]), address)) {
			fprintf(stderr, "ibisgatectl: --admin: too many or too long addresses\n");
			return false;
		}
		ctl->admin_count++;
	}
	return true;
}

static const char *env_or(const char *name, const char *fallback)
{
	const char *value = getenv(name);

	return value && value[0] ? value : fallback;
}

/* Returns the index of the command in argv; 0 after the help was printed; -1 after an error. */
static int parse_options(struct ctl *ctl, int argc, char **argv)
{
	static const struct option options[] = {
		{ "admin", required_argument, NULL, 'a' },
		{ "token-file", required_argument, NULL, 't' },
		{ "author", required_argument, NULL, 'u' },
		{ "json", no_argument, NULL, 'j' },
		{ "help", no_argument, NULL, 'h' },
		{ 0 },
	};
	const char *admin = env_or("IBISGATE_ADMIN", "");
	const char *token = env_or("IBISGATE_TOKEN_FILE", "");
	const char *author = env_or("USER", "operator");
	int opt;

	while ((opt = getopt_long(argc, argv, "+a:t:u:h", options, NULL)) != -1) {
		switch (opt) {
		case 'a':
			admin = optarg;
			break;
		case 't':
			token = optarg;
			break;
		case 'u':
			author = optarg;
			break;
		case 'j':
			ctl->json = true;
			break;
		case 'h':
			print_usage(stdout);
			return 0;
		default:
			print_usage(stderr);
			return -1;
		}
	}
	if (optind == argc) {
		print_usage(stderr);
		return -1;
	}
	str_copy(ctl->author, sizeof(ctl->author), str_from(author));
	if (!parse_admin(ctl, admin) || (token[0] && !read_token(ctl, token)))
		return -1;
	return optind;
}

int main(int argc, char **argv)
{
	static struct ctl ctl;
	int command_index = parse_options(&ctl, argc, argv);
	int code;

	if (command_index <= 0)
		return command_index == 0 ? CTL_OK : CTL_USAGE;
	ctl.command = command_find(argv[command_index]);
	if (!ctl.command) {
		fprintf(stderr, "ibisgatectl: unknown command \"%s\"; see --help\n",
			argv[command_index]);
		return CTL_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = ctl.command->run(&ctl, argc - command_index, argv + command_index);
	curl_global_cleanup();
	return code;
}
