#include <argtable2.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

/** struct filter - values that an event must have; a NULL member matches every event */
struct filter {
	const char *request;
	const char *endpoint;
	const char *organisation;
	const char *kind;
};

static bool field_matches(const json_t *ev, const char *field, const char *expected)
{
	return !expected || strcmp(json_get_cstr(ev, field, ""), expected) == 0;
}

static bool filter_matches(const struct filter *f, const json_t *ev)
{
	return field_matches(ev, "request", f->request) &&
	       field_matches(ev, "endpoint", f->endpoint) &&
	       field_matches(ev, "organisation", f->organisation) &&
	       field_matches(ev, "kind", f->kind);
}

/* Appends the matching events of one instance to @all. Returns false if it did not respond. */
static bool collect_events(struct ctl *ctl, const char *address, const struct filter *f,
			   json_t *all)
{
	json_t *response;
	json_t *ev;
	size_t i;
	int status = ctl_call(ctl, address, "/admin/events", NULL, &response);

	json_array_foreach(response, i, ev) {
		if (status == 200 && filter_matches(f, ev))
			json_array_append(all, ev);
	}
	json_decref(response);
	return status == 200;
}

static int compare_events(const void *a, const void *b)
{
	int64_t x = json_get_i64(*(json_t *const *)a, "hlc", 0);
	int64_t y = json_get_i64(*(json_t *const *)b, "hlc", 0);

	return (x > y) - (x < y);
}

static json_t *sort_events(json_t *all)
{
	size_t n = json_array_size(all);
	json_t **events = mem_alloc(n * sizeof(json_t *));
	json_t *sorted = json_array();

	for (size_t i = 0; i < n; i++)
		events[i] = json_array_get(all, i);
	if (n)
		qsort(events, n, sizeof(json_t *), compare_events);
	for (size_t i = 0; i < n; i++)
		json_array_append(sorted, events[i]);
	free(events);
	return sorted;
}

static void print_event(const json_t *ev)
{
	int64_t ms = json_get_i64(ev, "time_ms", 0);
	time_t s = (time_t)(ms / 1000);
	char text[32];
	struct tm tm;

	gmtime_r(&s, &tm);
	strftime(text, sizeof(text), "%H:%M:%S", &tm);
	printf("%s.%03d %-12s %-18s %-20s %-12s %-16s %s\n", text, (int)(ms % 1000),
	       json_get_cstr(ev, "instance", ""), json_get_cstr(ev, "kind", ""),
	       json_get_cstr(ev, "request", ""), json_get_cstr(ev, "endpoint", ""),
	       json_get_cstr(ev, "organisation", ""), json_get_cstr(ev, "detail", ""));
}

static int show_timeline(struct ctl *ctl, const struct filter *f)
{
	static char members[CTL_INSTANCES_MAX][64];
	json_t *all = json_array();
	json_t *sorted = NULL;
	json_t *ev;
	size_t k;
	int count;
	int code = CTL_OK;

	if (!ctl_live_admin_addresses(ctl, members, &count, &code))
		goto out;
	for (int i = 0; i < count; i++) {
		if (!collect_events(ctl, members[i], f, all))
			fprintf(stderr, "ibisgatectl: no events from %s\n", members[i]);
	}
	sorted = sort_events(all);
	if (ctl->json) {
		ctl_print_json(sorted);
		goto out;
	}
	json_array_foreach(sorted, k, ev)
		print_event(ev);
out:
	json_decref(sorted);
	json_decref(all);
	return code;
}

static const char *option_value(const struct arg_str *arg)
{
	return arg->count ? arg->sval[0] : NULL;
}

int cmd_timeline(struct ctl *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *request = arg_str0("r", "request", "ID", "events of one request");
	struct arg_str *endpoint = arg_str0("e", "endpoint", "NAME", "events of one endpoint");
	struct arg_str *org = arg_str0("o", "organisation", "NAME", "events of one organisation");
	struct arg_str *kind = arg_str0("k", "kind", "KIND", "events of one kind");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, request, endpoint, org, kind, end };
	struct filter f;
	int code;

	if (!command_parse(ctl, argc, argv, table, 6, &code))
		goto out;
	f = (struct filter){
		.request = option_value(request),
		.endpoint = option_value(endpoint),
		.organisation = option_value(org),
		.kind = option_value(kind),
	};
	code = show_timeline(ctl, &f);
out:
	arg_freetable(table, 6);
	return code;
}
