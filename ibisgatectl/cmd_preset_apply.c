#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

#define LINE_BYTES_MAX 256

static int invalid_line(const char *path, int number)
{
	fprintf(stderr, "ibisgatectl: %s:%d: expected \"SETTING VALUE\"\n", path, number);
	return CTL_USAGE;
}

/* Validates a line and, if @apply is set, applies it. Skips comments and empty lines. */
static int line_process(struct ctl *ctl, const char *path, int number, const char *line, bool apply)
{
	struct str value = str_trim(str_from(line));
	struct str name = str_split(&value, ' ');
	char text[LINE_BYTES_MAX];
	char setting[64];

	if (!name.len || name.data[0] == '#')
		return CTL_OK;
	value = str_trim(value);
	if (!value.len || !str_copy(text, sizeof(text), value) ||
	    !str_copy(setting, sizeof(setting), name))
		return invalid_line(path, number);
	if (!apply)
		return CTL_OK;
	return ctl_change(ctl, "default/", setting, json_from_text(text), CTL_ANY_VERSION);
}

static int file_process(struct ctl *ctl, const char *path, bool apply)
{
	FILE *in = fopen(path, "re");
	char line[LINE_BYTES_MAX];
	int code = CTL_OK;
	int number = 0;

	if (!in) {
		fprintf(stderr, "ibisgatectl: cannot read %s\n", path);
		return CTL_USAGE;
	}
	while (code == CTL_OK && fgets(line, sizeof(line), in))
		code = line_process(ctl, path, ++number, line, apply);
	fclose(in);
	return code;
}

int cmd_preset_apply(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *path =
		arg_str1(NULL, NULL, "FILE", "file with one \"SETTING VALUE\" per line");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, path, end };
	int code;

	if (!command_parse(ctl, argc, argv, table, 3, &code))
		goto out;
	/*
	 * The first pass validates the syntax, so that a malformed file changes nothing. If a value
	 * is rejected in the second pass, the lines before it stay applied.
	 */
	code = file_process(ctl, path->sval[0], false);
	if (code == CTL_OK)
		code = file_process(ctl, path->sval[0], true);
out:
	arg_freetable(table, 3);
	return code;
}
