#include <ini.h>
#include <math.h>
#include <string.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/load/scenario.h"

struct scenario_parser {
	struct scenario *scenario;
	FILE *report;
	int problems;
	bool has_phase_sections;
};

/** struct field - destination of the value of one key: a number within a range, or text */
struct field {
	const char *key;
	double *number;
	double min;
	double max;
	char *text;
	size_t size;
};

void scenario_defaults(struct scenario *s)
{
	*s = (struct scenario){
		.model = "M",
		.seed = 1,
		.size_sigma = 0.5,
		.prefixes = 4,
		.phases[0] = { .name = "steady",
			       .rate = 10,
			       .prompt_tokens = 200,
			       .output_tokens = 32 },
		.phase_count = 1,
	};
}

static int problem_report(struct scenario_parser *p, const char *section, const char *key,
			  const char *expected)
{
	p->problems++;
	if (p->report)
		fprintf(p->report, "[%s] %s: %s\n", section, key, expected);
	return 1;
}

static int field_set(struct scenario_parser *p, const char *section, const char *key,
		     const char *value, const struct field *fields, size_t count)
{
	char expected[96];
	double number;

	for (size_t i = 0; i < count; i++) {
		const struct field *f = &fields[i];

		if (strcmp(f->key, key) != 0)
			continue;
		if (f->text) {
			if (!value[0] || !str_copy(f->text, f->size, str_from(value)))
				return problem_report(p, section, key, "expected a shorter text");
			return 1;
		}
		if (!str_to_double(str_from(value), &number) || !(number >= f->min) ||
		    !(number <= f->max)) {
			snprintf(expected, sizeof(expected), "expected a number from %g to %g",
				 f->min, f->max);
			return problem_report(p, section, key, expected);
		}
		*f->number = number;
		return 1;
	}
	return problem_report(p, section, key, "unknown key; see ibisgate-load(1)");
}

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

static int load_key(struct scenario_parser *p, const char *section, const char *key,
		    const char *value)
{
	struct scenario *s = p->scenario;
	double seed = (double)s->seed;
	double prefixes = s->prefixes;
	const struct field fields[] = {
		{ "model", .text = s->model, .size = sizeof(s->model) },
		{ "seed", &seed, 0, 1e15 },
		{ "sigma", &s->size_sigma, 0, 3 },
		{ "prefixes", &prefixes, 1, 100000 },
		{ "chat-share", &s->chat_share, 0, 1 },
	};
	int rc = field_set(p, section, key, value, fields, ARRAY_SIZE(fields));

	s->seed = (uint64_t)seed;
	s->prefixes = (int)prefixes;
	return rc;
}

static int phase_key(struct scenario_parser *p, const char *section, const char *name,
		     const char *key, const char *value)
{
	struct scenario *s = p->scenario;
	struct scenario_phase *ph;

	if (!p->has_phase_sections) {
		p->has_phase_sections = true;
		s->phase_count = 0;
	}
	if (!s->phase_count || strcmp(s->phases[s->phase_count - 1].name, name) != 0) {
		if (s->phase_count == SCENARIO_PHASES_MAX)
			return problem_report(p, section, key, "too many phases");
		ph = &s->phases[s->phase_count++];
		*ph = (struct scenario_phase){ .rate = 10,
					       .prompt_tokens = 200,
					       .output_tokens = 32 };
		if (!str_copy(ph->name, sizeof(ph->name), str_from(name)))
			return problem_report(p, section, key, "expected a shorter name");
	}
	ph = &s->phases[s->phase_count - 1];
	const struct field fields[] = {
		{ "start-s", &ph->start_s, 0, 1e6 },
		{ "rate", &ph->rate, 0, 1e5 },
		{ "prompt-tokens", &ph->prompt_tokens, 1, 1e6 },
		{ "output-tokens", &ph->output_tokens, 1, 1e6 },
		{ "prefix-share", &ph->prefix_share, 0, 1 },
	};
	return field_set(p, section, key, value, fields, ARRAY_SIZE(fields));
}

static int organisation_key(struct scenario_parser *p, const char *section, const char *name,
			    const char *key, const char *value)
{
	struct scenario *s = p->scenario;
	struct scenario_organisation *o = NULL;

	for (int i = 0; i < s->organisation_count; i++) {
		if (strcmp(s->organisations[i].name, name) == 0)
			o = &s->organisations[i];
	}
	if (!o) {
		if (s->organisation_count == SCENARIO_ORGANISATIONS_MAX)
			return problem_report(p, section, key, "too many organisations");
		o = &s->organisations[s->organisation_count++];
		*o = (struct scenario_organisation){ .weight = 1, .arrival_factor = 1 };
		if (!str_copy(o->name, sizeof(o->name), str_from(name)))
			return problem_report(p, section, key, "expected a shorter name");
	}
	if (strcmp(key, "priority") == 0 && strcmp(value, "urgent") != 0 &&
	    strcmp(value, "normal") != 0 && strcmp(value, "background") != 0)
		return problem_report(p, section, key, "expected urgent, normal or background");
	const struct field fields[] = {
		{ "key", .text = o->key, .size = sizeof(o->key) },
		{ "weight", &o->weight, 0, 1e6 },
		{ "priority", .text = o->priority, .size = sizeof(o->priority) },
		{ "factor", &o->arrival_factor, 0, 1e6 },
	};
	return field_set(p, section, key, value, fields, ARRAY_SIZE(fields));
}

static int call_key(struct scenario_parser *p, const char *section, const char *name,
		    const char *key, const char *value)
{
	struct scenario *s = p->scenario;
	struct scenario_call *c = NULL;

	for (int i = 0; i < s->call_count; i++) {
		if (strcmp(s->calls[i].name, name) == 0)
			c = &s->calls[i];
	}
	if (!c) {
		if (s->call_count == SCENARIO_CALLS_MAX)
			return problem_report(p, section, key, "too many calls");
		c = &s->calls[s->call_count++];
		*c = (struct scenario_call){ .rate = 1 };
		if (!str_copy(c->name, sizeof(c->name), str_from(name)) ||
		    !str_copy(c->service, sizeof(c->service), str_from(name)))
			return problem_report(p, section, key, "expected a shorter name");
	}
	const struct field fields[] = {
		{ "rate", &c->rate, 0, 1e5 },
		{ "service", .text = c->service, .size = sizeof(c->service) },
		{ "repeat", &c->repeat_probability, 0, 1 },
	};
	return field_set(p, section, key, value, fields, ARRAY_SIZE(fields));
}

static int on_key(void *user, const char *section, const char *key, const char *value)
{
	struct scenario_parser *p = user;
	struct str name = str_from(section);
	struct str kind = str_split(&name, ' ');

	name = str_trim(name);
	if (strcmp(section, "load") == 0)
		return load_key(p, section, key, value);
	if (str_eq_cstr(kind, "phase") && name.len)
		return phase_key(p, section, name.data, key, value);
	if (str_eq_cstr(kind, "organisation") && name.len)
		return organisation_key(p, section, name.data, key, value);
	if (str_eq_cstr(kind, "call") && name.len)
		return call_key(p, section, name.data, key, value);
	return problem_report(p, section, key,
			      "expected a section [load], [phase NAME], [organisation NAME] or "
			      "[call NAME]");
}

static int scenario_validate(struct scenario_parser *p, int rc, struct error *err)
{
	struct scenario *s = p->scenario;
	double weight = 0;

	if (rc > 0)
		problem_report(p, "", "", "expected a [section] or a key = value line");
	for (int i = 1; i < s->phase_count; i++) {
		if (s->phases[i].start_s <= s->phases[i - 1].start_s)
			problem_report(p, s->phases[i].name, "start-s",
				       "expected a later start than the previous phase");
	}
	for (int i = 0; i < s->organisation_count; i++)
		weight += s->organisations[i].weight * s->organisations[i].arrival_factor;
	if (s->organisation_count && weight <= 0)
		problem_report(p, "organisation", "weight", "expected a sum above 0");
	if (p->problems)
		return error_set(err, ERROR_TOOL, SCENARIO_INVALID, "scenario: %d problems",
				 p->problems);
	return 0;
}

int scenario_load(struct scenario *s, const char *path, FILE *report, struct error *err)
{
	struct scenario_parser p = { .scenario = s, .report = report };
	int rc;

	scenario_defaults(s);
	rc = ini_parse(path, on_key, &p);
	if (rc < 0)
		return error_set(err, ERROR_TOOL, SCENARIO_UNREADABLE, "cannot read %s", path);
	return scenario_validate(&p, rc, err);
}

int scenario_parse(struct scenario *s, const char *text, FILE *report, struct error *err)
{
	struct scenario_parser p = { .scenario = s, .report = report };

	scenario_defaults(s);
	return scenario_validate(&p, ini_parse_string(text, on_key, &p), err);
}

const struct scenario_phase *scenario_phase_at(const struct scenario *s, double t_s)
{
	const struct scenario_phase *active_phase = NULL;

	for (int i = 0; i < s->phase_count && s->phases[i].start_s <= t_s; i++)
		active_phase = &s->phases[i];
	return active_phase;
}

double scenario_uniform(struct scenario_random *r)
{
	return ((double)(hash_mix(r->seed, r->count++) >> 11) + 0.5) * 0x1p-53;
}

double scenario_interarrival_s(struct scenario_random *r, double rate)
{
	return -log(scenario_uniform(r)) / rate;
}

int64_t scenario_size_draw(struct scenario_random *r, double mean, double sigma)
{
	double normal = sqrt(-2 * log(scenario_uniform(r))) * cos(2 * M_PI * scenario_uniform(r));
	double x = exp(log(mean) - sigma * sigma / 2 + sigma * normal);

	x = fmin(fmax(x, mean / 4), mean * 4);
	return x < 1 ? 1 : llround(x);
}

static double arrival_rate_factor(const struct scenario *s)
{
	double base_weight = 0;
	double scaled_weight = 0;

	for (int i = 0; i < s->organisation_count; i++) {
		base_weight += s->organisations[i].weight;
		scaled_weight += s->organisations[i].weight * s->organisations[i].arrival_factor;
	}
	return base_weight > 0 ? scaled_weight / base_weight : 1;
}

double scenario_next_arrival(const struct scenario *s, struct scenario_random *r, double t_s)
{
	double factor = arrival_rate_factor(s);

	/*
	 * The exponential distribution is memoryless, so an arrival beyond the end of a phase is
	 * discarded and drawn again from the start of the next phase.
	 */
	for (int i = 0; i < s->phase_count; i++) {
		const struct scenario_phase *p = &s->phases[i];
		double end = i + 1 < s->phase_count ? s->phases[i + 1].start_s : INFINITY;
		double from = fmax(t_s, p->start_s);
		double next;

		if (end <= t_s || p->rate <= 0)
			continue;
		next = from + scenario_interarrival_s(r, p->rate * factor);
		if (next < end)
			return next;
	}
	return -1;
}

int scenario_organisation_draw(const struct scenario *s, struct scenario_random *r)
{
	double sum = 0;
	double x;

	for (int i = 0; i < s->organisation_count; i++)
		sum += s->organisations[i].weight * s->organisations[i].arrival_factor;
	x = scenario_uniform(r) * sum;
	for (int i = 0; i < s->organisation_count; i++) {
		x -= s->organisations[i].weight * s->organisations[i].arrival_factor;
		if (x < 0)
			return i;
	}
	return s->organisation_count - 1;
}
