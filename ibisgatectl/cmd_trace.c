#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/ibisgatectl/command.h"

/**
 * struct trace_line - log line that contains the traced id
 * @text: the line, owned
 * @time: start of the time stamp within @text
 */
struct trace_line {
	char *text;
	char *time;
};

struct trace {
	struct trace_line *lines;
	int count;
};

/* Finds the time stamp "YYYY-MM-DDThh:mm:ss" in a line; other text may precede it. */
static char *find_time(char *line)
{
	for (char *at = strchr(line, 'T'); at; at = strchr(at + 1, 'T')) {
		if (at - line >= 10 && at[-3] == '-' && at[-6] == '-' && at[3] == ':')
			return at - 10;
	}
	return line;
}

/* Whether @line contains @id as a complete value: after "=", "," or ":", not within a longer id. */
static bool line_contains_id(const char *line, const char *id)
{
	size_t len = strlen(id);

	for (const char *at = strstr(line, id); at; at = strstr(at + 1, id)) {
		bool begins = at > line && strchr("=,:", at[-1]);
		bool ends = !at[len] || strchr(" ,:\n", at[len]);

		if (begins && ends)
			return true;
	}
	return false;
}

static int read_log(struct trace *t, const char *path, const char *id)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *line = NULL;
	size_t size = 0;

	if (!f) {
		fprintf(stderr, "ibisgatectl: %s: %s\n", path, strerror(errno));
		return -1;
	}
	while (getline(&line, &size, f) > 0) {
		struct trace_line *l;

		if (!line_contains_id(line, id))
			continue;
		t->lines = mem_resize(t->lines, sizeof(*t->lines) * (size_t)(t->count + 1));
		l = &t->lines[t->count++];
		l->text = mem_strdup(line);
		l->time = find_time(l->text);
	}
	free(line);
	if (f != stdin)
		fclose(f);
	return 0;
}

static int compare_lines(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;

	return strcmp(x->time, y->time);
}

int cmd_trace(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "request, endpoint or instance to trace");
	struct arg_file *files = arg_filen(NULL, NULL, "FILE", 1, 1000,
					   "log files of the instances; - for standard input");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, id, files, end };
	struct trace t = { 0 };
	int code;

	if (!command_parse(ctl, argc, argv, table, 4, &code))
		goto out;
	code = CTL_OK;
	for (int i = 0; i < files->count; i++) {
		if (read_log(&t, files->filename[i], id->sval[0]) < 0)
			code = CTL_USAGE;
	}
	if (t.count)
		qsort(t.lines, (size_t)t.count, sizeof(t.lines[0]), compare_lines);
	for (int i = 0; i < t.count; i++)
		fputs(t.lines[i].time, stdout);
	if (!t.count && code == CTL_OK)
		code = CTL_REFUSED;
out:
	for (int i = 0; i < t.count; i++)
		free(t.lines[i].text);
	free(t.lines);
	arg_freetable(table, 4);
	return code;
}
