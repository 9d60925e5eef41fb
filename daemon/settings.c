#include <ini.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "ibisgate/common/str.h"
#include "ibisgate/daemon/settings.h"

enum key_type {
	KEY_NAME,
	KEY_TEXT,
	KEY_ADDRESS,
	KEY_URL,
	KEY_INT,
	KEY_INT64,
	KEY_DOUBLE,
	KEY_LEVEL,
	KEY_KIND,
};

/** enum key_requirement - kind of platform on which a key is required */
enum key_requirement {
	REQUIRED_NEVER,
	REQUIRED_ON_TABLE,
	REQUIRED_ON_ROWS,
	REQUIRED_ALWAYS,
};

/**
 * struct key_spec - one key of the settings file
 * @type: syntax and type of the value
 * @offset: position of the field in struct settings
 * @size: size of the field in bytes
 * @min: minimum value, or minimum length of a text
 * @max: maximum value; if not 0 also the maximum length of a text, besides the size of the field
 */
struct key_spec {
	const char *section;
	const char *key;
	enum key_type type;
	size_t offset;
	size_t size;
	int64_t min;
	int64_t max;
	enum key_requirement requirement;
};

#define FIELD(member) offsetof(struct settings, member), sizeof(((struct settings *)0)->member)

static const struct key_spec specs[] = {
	{ "instance", "id", KEY_NAME, FIELD(instance.id), 1, 0, REQUIRED_ALWAYS },
	{ "instance", "data-centre", KEY_NAME, FIELD(instance.dc), 1, 0, REQUIRED_ALWAYS },
	{ "instance", "region", KEY_NAME, FIELD(instance.region), 1, 0, REQUIRED_ALWAYS },
	{ "instance", "log-level", KEY_LEVEL, FIELD(instance.log_level), 0, 0, REQUIRED_NEVER },
	{ "http", "listen", KEY_ADDRESS, FIELD(http.listen), 0, 0, REQUIRED_ALWAYS },
	{ "http", "advertise", KEY_ADDRESS, FIELD(http.advertise), 0, 0, REQUIRED_NEVER },
	{ "http", "threads", KEY_INT, FIELD(http.threads), 1, 4096, REQUIRED_NEVER },
	{ "http", "body-max-bytes", KEY_INT64, FIELD(http.body_max_bytes), 1024, 1 << 30,
	  REQUIRED_NEVER },
	{ "http", "request-timeout-ms", KEY_INT64, FIELD(http.request_timeout_ms), 100, 600000,
	  REQUIRED_NEVER },
	{ "http", "tls-certificate", KEY_TEXT, FIELD(http.tls_certificate), 0, 0, REQUIRED_NEVER },
	{ "admin", "listen", KEY_ADDRESS, FIELD(admin.listen), 0, 0, REQUIRED_ON_TABLE },
	{ "admin", "advertise", KEY_ADDRESS, FIELD(admin.advertise), 0, 0, REQUIRED_NEVER },
	{ "admin", "token", KEY_TEXT, FIELD(admin.token), 16, 0, REQUIRED_ON_TABLE },
	{ "peer", "listen", KEY_ADDRESS, FIELD(peer.listen), 0, 0, REQUIRED_ON_TABLE },
	{ "peer", "advertise", KEY_ADDRESS, FIELD(peer.advertise), 0, 0, REQUIRED_NEVER },
	{ "peer", "curve-public-key", KEY_TEXT, FIELD(peer.curve_public), 40, 40, REQUIRED_NEVER },
	{ "peer", "curve-secret-key", KEY_TEXT, FIELD(peer.curve_secret), 40, 40, REQUIRED_NEVER },
	{ "platform", "kind", KEY_KIND, FIELD(platform.kind), 0, 0, REQUIRED_NEVER },
	{ "platform", "url", KEY_URL, FIELD(platform.url), 0, 0, REQUIRED_ALWAYS },
	{ "platform", "timeout-ms", KEY_INT64, FIELD(platform.timeout_ms), 50, 60000,
	  REQUIRED_NEVER },
	{ "platform", "workers", KEY_INT, FIELD(platform.workers), 1, 64, REQUIRED_NEVER },
	{ "platform", "list-poll-ms", KEY_INT64, FIELD(platform.list_poll_ms), 100, 600000,
	  REQUIRED_NEVER },
	{ "platform", "config-poll-ms", KEY_INT64, FIELD(platform.config_poll_ms), 100, 600000,
	  REQUIRED_NEVER },
	{ "links", "loops", KEY_INT, FIELD(links.loops), 1, 16, REQUIRED_NEVER },
	{ "links", "connect-timeout-ms", KEY_INT64, FIELD(links.connect_timeout_ms), 10, 60000,
	  REQUIRED_NEVER },
	{ "links", "silence-ms", KEY_INT64, FIELD(links.silence_ms), 100, 600000, REQUIRED_NEVER },
	{ "links", "load-poll-ms", KEY_INT64, FIELD(links.load_poll_ms), 50, 60000,
	  REQUIRED_NEVER },
	{ "ready", "listen", KEY_ADDRESS, FIELD(ready.listen), 0, 0, REQUIRED_ON_ROWS },
	{ "metrics", "listen", KEY_ADDRESS, FIELD(metrics.listen), 0, 0, REQUIRED_NEVER },
	{ "metrics", "explain", KEY_INT, FIELD(metrics.explain), 0, 1, REQUIRED_NEVER },
	{ "bounds", "retry-ratio", KEY_DOUBLE, FIELD(bounds.retry_ratio), 0, 10, REQUIRED_ON_ROWS },
	{ "bounds", "retry-fixed", KEY_DOUBLE, FIELD(bounds.retry_fixed), 0, 1000000,
	  REQUIRED_ON_ROWS },
	{ "bounds", "retry-window-ms", KEY_INT64, FIELD(bounds.retry_window_ms), 100, 3600000,
	  REQUIRED_ON_ROWS },
	{ "bounds", "instances-min", KEY_INT, FIELD(bounds.instances_min), 1, 100000,
	  REQUIRED_NEVER },
	{ "bounds", "stop-grace-ms", KEY_INT64, FIELD(bounds.stop_grace_ms), 100, 3600000,
	  REQUIRED_ON_ROWS },
	{ "bounds", "change-ms", KEY_INT64, FIELD(bounds.change_ms), 100, 3600000, REQUIRED_NEVER },
	{ "bounds", "recovery-ms", KEY_INT64, FIELD(bounds.recovery_ms), 100, 3600000,
	  REQUIRED_NEVER },
	{ "machine", "memory-mb", KEY_INT64, FIELD(machine.memory_mb), 0, 1 << 30, REQUIRED_NEVER },
	{ "machine", "descriptors", KEY_INT64, FIELD(machine.descriptors), 0, 1 << 30,
	  REQUIRED_NEVER },
	{ "machine", "cpu-share", KEY_DOUBLE, FIELD(machine.cpu_share), 0, 1024, REQUIRED_NEVER },
	{ "machine", "link-mbps", KEY_DOUBLE, FIELD(machine.link_mbps), 0, 1000000,
	  REQUIRED_NEVER },
	{ "duties", "api", KEY_ADDRESS, FIELD(duties.api), 0, 0, REQUIRED_NEVER },
	{ "duties", "kinds", KEY_TEXT, FIELD(duties.kinds), 0, 0, REQUIRED_NEVER },
	{ "duties", "calls-per-s", KEY_DOUBLE, FIELD(duties.calls_per_s), 0, 1000000,
	  REQUIRED_NEVER },
	{ "duties", "lease-ms", KEY_INT64, FIELD(duties.lease_ms), 100, 600000, REQUIRED_NEVER },
	{ "duties", "usage-window-s", KEY_DOUBLE, FIELD(duties.usage_window_s), 0, 86400,
	  REQUIRED_NEVER },
	{ "duties", "order-endpoints", KEY_INT, FIELD(duties.order_endpoints), 0, 1,
	  REQUIRED_NEVER },
	{ "duties", "usage-late-s", KEY_DOUBLE, FIELD(duties.usage_late_s), 0, 86400,
	  REQUIRED_NEVER },
	{ "engines", "prefill-tokens-per-ms", KEY_DOUBLE, FIELD(engines.prefill_tokens_per_ms), 0,
	  1000000, REQUIRED_NEVER },
	{ "engines", "mixed-tokens-per-ms", KEY_DOUBLE, FIELD(engines.mixed_tokens_per_ms), 0,
	  1000000, REQUIRED_NEVER },
	{ "engines", "overhead-ms", KEY_DOUBLE, FIELD(engines.overhead_ms), 0, 10000,
	  REQUIRED_NEVER },
	{ "engines", "transfer-tokens-per-ms", KEY_DOUBLE, FIELD(engines.transfer_tokens_per_ms), 0,
	  100000000, REQUIRED_NEVER },
	{ "stages", "prefill-share", KEY_DOUBLE, FIELD(stages.prefill_share), -1, 1,
	  REQUIRED_NEVER },
	{ "stages", "order-at-start", KEY_INT, FIELD(stages.order_at_start), 0, 1, REQUIRED_NEVER },
	{ "admission", "yield", KEY_INT, FIELD(admission.yield), 0, 1, REQUIRED_NEVER },
	{ "place", "remote-ms", KEY_DOUBLE, FIELD(place.remote_ms), 0, 10000, REQUIRED_NEVER },
	{ "place", "handoff-ms", KEY_DOUBLE, FIELD(place.handoff_ms), 0, 10000, REQUIRED_NEVER },
	{ "place", "fetch-ms", KEY_DOUBLE, FIELD(place.fetch_ms), 0, 10000, REQUIRED_NEVER },
	{ "place", "move-token-ms", KEY_DOUBLE, FIELD(place.move_token_ms), 0, 100,
	  REQUIRED_NEVER },
	{ "place", "home-ms", KEY_DOUBLE, FIELD(place.home_ms), 0, 10000, REQUIRED_NEVER },
	{ "place", "work-weight", KEY_DOUBLE, FIELD(place.work_weight), 0, 1000, REQUIRED_NEVER },
	{ "place", "disturb-weight", KEY_DOUBLE, FIELD(place.disturb_weight), 0, 1000,
	  REQUIRED_NEVER },
	{ "place", "near-engines", KEY_INT, FIELD(scope.engines_min), 1, 1000000, REQUIRED_NEVER },
	{ "place", "near-instances", KEY_INT, FIELD(scope.instances_min), 1, 1000000,
	  REQUIRED_NEVER },
};

#define SPEC_COUNT (sizeof(specs) / sizeof(specs[0]))

/**
 * struct settings_parser - state of the parser
 * @seen: by key, whether it has occurred
 * @empty_line: by key, the line on which it has no value; 0 if it has one
 */
struct settings_parser {
	struct settings *settings;
	FILE *file;
	struct str text;
	const char *name;
	FILE *report;
	int problems;
	int line;
	bool partial;
	bool seen[SPEC_COUNT];
	int empty_line[SPEC_COUNT];
};

void settings_set_defaults(struct settings *s)
{
	*s = (struct settings){
		.instance.log_level = LOG_INFO,
		.http.threads = 600,
		.http.body_max_bytes = 4 << 20,
		.http.request_timeout_ms = 10000,
		.platform.timeout_ms = 1000,
		.platform.workers = 4,
		.platform.list_poll_ms = 1000,
		.platform.config_poll_ms = 1500,
		.links.loops = 2,
		.links.connect_timeout_ms = 500,
		.links.silence_ms = 3000,
		.links.load_poll_ms = 500,
		.bounds.instances_min = 6,
		.bounds.change_ms = 2000,
		.bounds.recovery_ms = 3000,
		.duties.calls_per_s = 50,
		.duties.lease_ms = 3000,
		.duties.usage_late_s = 10,
		.engines.prefill_tokens_per_ms = 45,
		.engines.mixed_tokens_per_ms = 22,
		.engines.overhead_ms = 30,
		.engines.transfer_tokens_per_ms = 1500,
		.stages.prefill_share = 0.7,
		.stages.order_at_start = 1,
		.place.remote_ms = 12,
		.place.handoff_ms = 15,
		.place.fetch_ms = 8,
		.place.move_token_ms = 0.002,
		.place.home_ms = 60,
		.place.work_weight = 0.5,
		.place.disturb_weight = 0.15,
		.scope.engines_min = 8,
		.scope.instances_min = 16,
	};
}

static int problem_report(struct settings_parser *p, const char *section, const char *key,
			  const char *expected)
{
	p->problems++;
	if (p->report)
		fprintf(p->report, "%s:%d: [%s] %s: %s\n", p->name, p->line, section, key,
			expected);
	return 1;
}

static bool name_is_valid(struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'))
			return false;
	}
	return s.len > 0;
}

static bool address_is_valid(struct str s)
{
	struct str host = str_split(&s, ':');
	int64_t port;
	int dots = 0;

	for (size_t i = 0; i < host.len; i++) {
		if (host.data[i] == '.')
			dots++;
		else if (host.data[i] < '0' || host.data[i] > '9')
			return false;
	}
	return dots == 3 && str_to_i64(s, &port) && port >= 0 && port <= 65535;
}

static int parse_value(struct settings_parser *p, const struct key_spec *spec, struct str value)
{
	char *field = (char *)p->settings + spec->offset;
	char expected[160];
	double fraction;
	int64_t n;
	int level;

	switch (spec->type) {
	case KEY_NAME:
		if (!name_is_valid(value))
			return problem_report(p, spec->section, spec->key,
					      "expected lower-case letters, digits and hyphens");
		break;
	case KEY_ADDRESS:
		if (!address_is_valid(value))
			return problem_report(p, spec->section, spec->key,
					      "expected IPv4-ADDRESS:PORT");
		break;
	case KEY_URL:
		if (!str_starts_with(value, STR_LIT("http://")) &&
		    !str_starts_with(value, STR_LIT("https://")))
			return problem_report(
				p, spec->section, spec->key,
				"expected a URL that begins with http:// or https://");
		break;
	case KEY_TEXT:
		if ((int64_t)value.len < spec->min ||
		    (spec->max && (int64_t)value.len > spec->max)) {
			snprintf(expected, sizeof(expected), "expected %s%" PRId64 " characters",
				 spec->max ? "" : "at least ", spec->min);
			return problem_report(p, spec->section, spec->key, expected);
		}
		break;
	case KEY_INT:
	case KEY_INT64:
		if (!str_to_i64(value, &n) || n < spec->min || n > spec->max) {
			snprintf(expected, sizeof(expected),
				 "expected a whole number from %" PRId64 " to %" PRId64, spec->min,
				 spec->max);
			return problem_report(p, spec->section, spec->key, expected);
		}
		if (spec->type == KEY_INT)
			*(int *)(void *)field = (int)n;
		else
			*(int64_t *)(void *)field = n;
		return 0;
	case KEY_DOUBLE:
		if (!str_to_double(value, &fraction) || fraction < (double)spec->min ||
		    fraction > (double)spec->max) {
			snprintf(expected, sizeof(expected),
				 "expected a number from %" PRId64 " to %" PRId64, spec->min,
				 spec->max);
			return problem_report(p, spec->section, spec->key, expected);
		}
		*(double *)(void *)field = fraction;
		return 0;
	case KEY_KIND:
		if (!str_eq_cstr(value, "table") && !str_eq_cstr(value, "rows"))
			return problem_report(p, spec->section, spec->key,
					      "expected table or rows");
		*(enum platform_kind *)(void *)field =
			str_eq_cstr(value, "rows") ? PLATFORM_ROWS : PLATFORM_TABLE;
		return 0;
	case KEY_LEVEL:
		level = log_level_parse(value.data);
		if (level < 0)
			return problem_report(p, spec->section, spec->key,
					      "expected debug, info, warn or error");
		*(enum log_level *)(void *)field = (enum log_level)level;
		return 0;
	}
	if (!str_copy(field, spec->size, value)) {
		snprintf(expected, sizeof(expected), "expected at most %zu characters",
			 spec->size - 1);
		return problem_report(p, spec->section, spec->key, expected);
	}
	return 0;
}

static int pair_add(struct settings_parser *p, const char *section, struct settings_pair *pairs,
		    int *count, int max, const char *key, const char *value)
{
	if (*count == max)
		return problem_report(p, section, key, "too many entries in this section");
	if (!str_copy(pairs[*count].key, sizeof(pairs[0].key), str_from(key)) ||
	    !str_copy(pairs[*count].value, sizeof(pairs[0].value), str_from(value)))
		return problem_report(p, section, key, "expected a shorter key or value");
	(*count)++;
	return 0;
}

static int on_key(void *user, const char *section, const char *key, const char *value)
{
	struct settings_parser *p = user;
	struct settings *s = p->settings;
	int64_t us;

	if (strcmp(section, "distance") == 0) {
		if (!str_to_i64(str_from(value), &us) || us < 0 || us > 10000000)
			return problem_report(p, section, key,
					      "expected microseconds from 0 to 10000000");
		pair_add(p, section, s->distance, &s->distance_count, 32, key, value);
		return 1;
	}
	if (strcmp(section, "routes") == 0 || strcmp(section, "seeds") == 0) {
		if (!address_is_valid(str_from(value)))
			return problem_report(p, section, key, "expected IPv4-ADDRESS:PORT");
		if (section[0] == 'r')
			pair_add(p, section, s->routes, &s->route_count, SETTINGS_ROUTES_MAX, key,
				 value);
		else
			pair_add(p, section, s->seeds, &s->seed_count, SETTINGS_SEEDS_MAX, key,
				 value);
		return 1;
	}
	if (strcmp(section, "curve-peers") == 0) {
		if (strlen(value) != 40)
			return problem_report(p, section, key,
					      "expected a public key of 40 characters");
		pair_add(p, section, s->curve_peers, &s->curve_peer_count, SETTINGS_SEEDS_MAX, key,
			 value);
		return 1;
	}
	for (size_t i = 0; i < SPEC_COUNT; i++) {
		if (strcmp(specs[i].section, section) != 0 || strcmp(specs[i].key, key) != 0)
			continue;
		if (p->seen[i])
			return problem_report(p, section, key, "duplicate key");
		p->seen[i] = true;
		/* A template leaves a value empty that the platform doesn't have. */
		if (value[0])
			parse_value(p, &specs[i], str_from(value));
		else
			p->empty_line[i] = p->line;
		return 1;
	}
	return problem_report(p, section, key, "unknown key; see ibisgate(5)");
}

static void check_required(struct settings_parser *p)
{
	enum key_requirement kind =
		p->settings->platform.kind == PLATFORM_ROWS ? REQUIRED_ON_ROWS : REQUIRED_ON_TABLE;

	for (size_t i = 0; i < SPEC_COUNT; i++) {
		if (specs[i].requirement != REQUIRED_ALWAYS && specs[i].requirement != kind)
			continue;
		p->line = p->empty_line[i];
		if (!p->seen[i])
			problem_report(p, specs[i].section, specs[i].key, "required, but missing");
		else if (p->empty_line[i])
			problem_report(p, specs[i].section, specs[i].key, "required, but empty");
	}
	p->line = 0;
	if (!p->settings->peer.curve_public[0] != !p->settings->peer.curve_secret[0])
		problem_report(p, "peer", "curve-public-key",
			       "expected together with curve-secret-key, or neither");
}

static int parse_end(struct settings_parser *p, int rc, struct error *err)
{
	if (rc > 0 && !p->problems) {
		p->line = rc;
		problem_report(p, "", "", "expected a [section] or a key = value line");
	}
	check_required(p);
	if (p->problems)
		return error_set(err, ERROR_SETTINGS, SETTINGS_INVALID, "%s: %d problems", p->name,
				 p->problems);
	return 0;
}

/*
 * Reads a line for ini_parse_stream(). Debian builds inih without line numbers and with a limit on
 * the length of a line, so this counts the lines and reports those that are too long.
 */
static char *read_line(char *line, int size, void *stream)
{
	struct settings_parser *p = stream;
	size_t len = 0;

	if (p->file) {
		if (!fgets(line, size, p->file))
			return NULL;
		len = strlen(line);
	} else {
		while (len < p->text.len && len < (size_t)size - 1) {
			line[len] = p->text.data[len];
			if (line[len++] == '\n')
				break;
		}
		if (!len)
			return NULL;
		line[len] = '\0';
		p->text.data += len;
		p->text.len -= len;
	}
	if (!p->partial)
		p->line++;
	p->partial = line[len ? len - 1 : 0] != '\n';
	if (p->partial && len == (size_t)size - 1)
		problem_report(p, "", "", "expected a shorter line");
	return line;
}

int settings_load(struct settings *s, const char *path, FILE *report_to, struct error *err)
{
	struct settings_parser p = { .settings = s, .name = path, .report = report_to };
	int rc;

	settings_set_defaults(s);
	p.file = fopen(path, "re");
	if (!p.file) {
		if (report_to)
			fprintf(report_to, "%s: cannot be read\n", path);
		return error_set(err, ERROR_SETTINGS, SETTINGS_UNREADABLE, "cannot read %s", path);
	}
	rc = ini_parse_stream(read_line, &p, on_key, &p);
	fclose(p.file);
	return parse_end(&p, rc, err);
}

int settings_parse(struct settings *s, const char *text, const char *name, FILE *report_to,
		   struct error *err)
{
	struct settings_parser p = { .settings = s, .name = name, .report = report_to };
	int rc;

	settings_set_defaults(s);
	p.text = str_from(text);
	rc = ini_parse_stream(read_line, &p, on_key, &p);
	return parse_end(&p, rc, err);
}

const char *settings_route(const struct settings *s, const char *name)
{
	for (int i = 0; i < s->route_count; i++) {
		if (strcmp(s->routes[i].key, name) == 0)
			return s->routes[i].value;
	}
	return NULL;
}

int64_t settings_descriptors(const struct settings *s)
{
	struct rlimit limit;

	if (s->machine.descriptors)
		return s->machine.descriptors;
	return getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < INT32_MAX
		       ? (int64_t)limit.rlim_cur
		       : INT32_MAX;
}

int64_t settings_distance_us(const struct settings *s, const char *dc)
{
	int64_t us;

	if (strcmp(dc, s->instance.dc) == 0)
		return 0;
	for (int i = 0; i < s->distance_count; i++) {
		if (strcmp(s->distance[i].key, dc) == 0 &&
		    str_to_i64(str_from(s->distance[i].value), &us))
			return us;
	}
	return 1000;
}
