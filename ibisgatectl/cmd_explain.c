#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "ibisgate/ibisgatectl/command.h"
#include "ibisgate/ibisgatectl/explain_text.h"
#include "ibisgate/net/codec_explain.h"

/** struct explain_args - options of the command */
struct explain_args {
	struct arg_lit *help;
	struct arg_str *path;
	struct arg_str *host;
	struct arg_str *method;
	struct arg_str *id;
	struct arg_str *organisation;
	struct arg_file *key_file;
	struct arg_str *model;
	struct arg_int *prompt;
	struct arg_file *prompt_file;
	struct arg_int *output;
	struct arg_str *parts;
	struct arg_int *priority;
	struct arg_int *deadline;
	struct arg_int *body;
	struct arg_end *end;
};

static int problem(const char *field, const char *expected)
{
	fprintf(stderr, "explain: %s: expected %s\n", field, expected);
	return -1;
}

static int text_set(const char *field, const struct arg_str *a, char *out, size_t size)
{
	if (!a->count || str_copy(out, size, str_from(a->sval[0])))
		return 0;
	return problem(field, "a shorter text");
}

static int number_set(const char *field, const struct arg_int *a, int min, int64_t *out)
{
	if (!a->count)
		return 0;
	if (a->ival[0] < min)
		return problem(field, min ? "1 or more" : "0 or more");
	*out = a->ival[0];
	return 0;
}

static FILE *file_open(const char *path)
{
	FILE *f = fopen(path, "re");

	if (!f)
		fprintf(stderr, "explain: %s: %s\n", path, strerror(errno));
	return f;
}

/* The key is sent to the instance, and neither printed nor recorded. */
static int key_read(const struct arg_file *a, struct explain_request *r)
{
	struct str key;
	size_t len;
	FILE *f;

	if (!a->count)
		return 0;
	f = file_open(a->filename[0]);
	if (!f)
		return -1;
	len = fread(r->key, 1, sizeof(r->key) - 1, f);
	fclose(f);
	key = str_trim((struct str){ .data = r->key, .len = len });
	memmove(r->key, key.data, key.len);
	r->key[key.len] = '\0';
	return key.len ? 0 : problem("--key-file", "a file with an API key");
}

/* Size up to which a prompt decides where it is cached: 64 pieces of 2,000 tokens. */
#define PROMPT_TEXT_MAX (512 << 10)

static int prompt_read(const struct arg_file *a, struct explain_request *r)
{
	char data[4096];
	size_t len;
	FILE *f;

	if (!a->count)
		return 0;
	f = file_open(a->filename[0]);
	if (!f)
		return -1;
	while (r->prompt.len <= PROMPT_TEXT_MAX && (len = fread(data, 1, sizeof(data), f)) > 0)
		buf_append(&r->prompt, data, len);
	fclose(f);
	if (!r->prompt.len || r->prompt.len > PROMPT_TEXT_MAX)
		return problem("--prompt-file", "1 byte to 512 KB");
	return str_is_utf8(buf_str(&r->prompt)) ? 0 : problem("--prompt-file", "text in UTF-8");
}

static int parts_read(const struct arg_str *a, struct explain_request *r)
{
	for (int i = 0; i < a->count; i++) {
		struct explain_part *p = &r->parts[i];
		const char *colon = strrchr(a->sval[i], ':');
		struct str id = { .data = (char *)a->sval[i] };

		if (!colon || !str_to_i64(str_from(colon + 1), &p->tokens) || p->tokens < 0)
			return problem("--part", "ID:TOKENS");
		id.len = (size_t)(colon - a->sval[i]);
		if (!id.len || !str_copy(p->id, sizeof(p->id), id))
			return problem("--part", "ID:TOKENS with an id of 1 to 79 bytes");
	}
	r->part_count = a->count;
	return 0;
}

static int request_read(const struct explain_args *a, struct explain_request *r)
{
	*r = (struct explain_request){ .prompt_tokens = -1, .priority = -1 };
	if (a->path->sval[0][0] != '/')
		return problem("PATH", "a path that begins with /");
	if (text_set("PATH", a->path, r->path, sizeof(r->path)) < 0 ||
	    text_set("--host", a->host, r->host, sizeof(r->host)) < 0 ||
	    text_set("--method", a->method, r->method, sizeof(r->method)) < 0 ||
	    text_set("--id", a->id, r->id, sizeof(r->id)) < 0 ||
	    text_set("--organisation", a->organisation, r->organisation, sizeof(r->organisation)) <
		    0 ||
	    text_set("--model", a->model, r->model, sizeof(r->model)) < 0 ||
	    number_set("--prompt", a->prompt, 0, &r->prompt_tokens) < 0 ||
	    number_set("--output", a->output, 0, &r->output_tokens) < 0 ||
	    number_set("--priority", a->priority, 0, &r->priority) < 0 ||
	    number_set("--deadline-ms", a->deadline, 1, &r->deadline_ms) < 0 ||
	    number_set("--body-bytes", a->body, 0, &r->body_bytes) < 0)
		return -1;
	if (a->organisation->count && a->key_file->count)
		return problem("--key-file", "either this or --organisation");
	if (r->priority > 9)
		return problem("--priority", "0 to 9");
	if (key_read(a->key_file, r) < 0 || prompt_read(a->prompt_file, r) < 0)
		return -1;
	return parts_read(a->parts, r);
}

static int print_answer(const struct ctl *ctl, const json_t *answer)
{
	struct buf text = { 0 };

	if (ctl->json) {
		json_dumpf(answer, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(12));
		putchar('\n');
		return CTL_OK;
	}
	explain_text_append(&text, answer);
	fwrite(text.data, 1, text.len, stdout);
	buf_free(&text);
	return CTL_OK;
}

static int ask(struct ctl *ctl, const struct explain_request *r)
{
	json_t *body = explain_request_encode(r);
	json_t *answer = NULL;
	int status = ctl_call(ctl, NULL, "/explain", body, &answer);
	int code = CTL_REFUSED;

	if (status == 200 && json_object_get(answer, "verdict")) {
		code = print_answer(ctl, answer);
	} else if (status < 0) {
		fprintf(stderr, "explain: no complete answer; nothing was sent or changed\n");
		code = CTL_UNREACHABLE;
	} else if (status == 0 || json_object_get(answer, "error")) {
		code = ctl_report_failure(ctl, status, answer);
	} else {
		fprintf(stderr,
			"explain: not available at this address; expected the admin listener of an "
			"instance, or its metrics listener where kind = rows\n");
	}
	json_decref(answer);
	json_decref(body);
	return code;
}

int cmd_explain(struct ctl *ctl, int argc, char **argv)
{
	struct explain_args a = {
		.help = arg_lit0("h", "help", "print this help"),
		.path = arg_str1(NULL, NULL, "PATH", "path of the request"),
		.host = arg_str0("H", "host", "NAME", "host that it names"),
		.method = arg_str0("m", "method", "METHOD", "method; default POST"),
		.id = arg_str0(NULL, "id", "ID", "request id; decides between equals"),
		.organisation = arg_str0("o", "organisation", "NAME", "organisation of its caller"),
		.key_file = arg_file0("k", "key-file", "FILE", "file with its caller's API key"),
		.model = arg_str0(NULL, "model", "MODEL", "model that it names"),
		.prompt = arg_int0(NULL, "prompt", "TOKENS", "prompt; default: sum of the parts"),
		.prompt_file = arg_file0(NULL, "prompt-file", "FILE",
					 "text of the prompt, where instances see texts"),
		.output = arg_int0(NULL, "output", "TOKENS", "tokens to generate"),
		.parts = arg_strn(NULL, "part", "ID:TOKENS", 0, EXPLAIN_PARTS_MAX,
				  "part of the prompt, in order; the last is its own"),
		.priority = arg_int0(NULL, "priority", "N", "0 (highest) to 9, instead of its own"),
		.deadline = arg_int0(NULL, "deadline-ms", "MS", "time that its caller waits"),
		.body = arg_int0(NULL, "body-bytes", "BYTES", "size of its body"),
		.end = arg_end(8),
	};
	void *table[] = { a.help,     a.path,	  a.host,   a.method,	   a.id,     a.organisation,
			  a.key_file, a.model,	  a.prompt, a.prompt_file, a.output, a.parts,
			  a.priority, a.deadline, a.body,   a.end };
	int count = (int)(sizeof(table) / sizeof(table[0]));
	struct explain_request r = { .prompt = { 0 } };
	int code;

	if (!command_parse(ctl, argc, argv, table, count, &code))
		goto out;
	code = request_read(&a, &r) < 0 ? CTL_USAGE : ask(ctl, &r);
out:
	explain_request_clear(&r);
	arg_freetable(table, (size_t)count);
	return code;
}
