#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"

#define FIRST_FAULT_MS 2000
#define MEAN_GAP_MS 1500

/**
 * struct kind_spec - name, probability and duration of a kind of fault
 * @weight: relative frequency in a schedule of all kinds
 * @min_ms: lower bound of the random duration
 * @max_ms: upper bound of the random duration
 */
struct kind_spec {
	const char *name;
	double weight;
	int64_t min_ms;
	int64_t max_ms;
};

static const struct kind_spec kinds[FAULT_KINDS] = {
	[FAULT_KILL] = { "kill", 2, 500, 4000 },
	[FAULT_FREEZE] = { "freeze", 2, 1000, 10000 },
	[FAULT_RESTART] = { "restart", 1.5, 0, 0 },
	[FAULT_ENGINE_CRASH] = { "engine-crash", 2, 500, 3000 },
	[FAULT_CRASH_IN_CHANGE] = { "crash-in-change", 1, 3000, 8000 },
	[FAULT_POISON] = { "poison", 1, 0, 0 },
	[FAULT_CUT_PEERS] = { "cut-peers", 1, 1000, 9000 },
	[FAULT_CUT_PEERS_ONE_WAY] = { "cut-peers-one-way", 1, 1000, 9000 },
	[FAULT_CUT_DC_PEERS] = { "cut-dc-peers", 1, 1000, 9000 },
	[FAULT_CUT_DC_PLATFORM] = { "cut-dc-platform", 1, 1000, 9000 },
	[FAULT_CUT_DC_BOTH] = { "cut-dc-both", 1, 1000, 9000 },
	[FAULT_CUT_ENDPOINT] = { "cut-endpoint", 1, 500, 5000 },
	[FAULT_PLATFORM_DOWN] = { "platform-down", 1, 500, 8000 },
	[FAULT_PLATFORM_SLOW] = { "platform-slow", 1, 1000, 6000 },
	[FAULT_PLATFORM_DROP] = { "platform-drop-reply", 1.5, 1000, 6000 },
	[FAULT_SILENT] = { "silent", 1, 2000, 8000 },
	[FAULT_SILENT_TO_CLIENT] = { "silent-to-client", 1, 2000, 8000 },
	[FAULT_SILENT_TO_TARGET] = { "silent-to-target", 1, 2000, 8000 },
	[FAULT_SILENT_PLATFORM] = { "silent-platform", 1, 2000, 8000 },
	[FAULT_SLOW_LINKS] = { "slow-links", 1, 1000, 8000 },
	[FAULT_LOST_REPLIES] = { "lost-replies", 1, 1000, 6000 },
	[FAULT_SERVICE_SLOW] = { "service-slow", 1, 1000, 6000 },
	[FAULT_SERVICE_REFUSE] = { "service-refuse", 1, 1000, 6000 },
	[FAULT_SERVICE_DROP] = { "service-drop-reply", 1, 1000, 6000 },
	[FAULT_RACE] = { "race", 3, 0, 0 },
	[FAULT_DRAIN] = { "drain", 2, 3000, 9000 },
	[FAULT_LATE_CHUNKS] = { "late-chunks", 1, 1000, 4000 },
};

const char *fault_name(enum fault_kind kind)
{
	return kinds[kind].name;
}

/**
 * struct scenario_kinds - named scenario with the kinds of faults that it draws from
 * @count: number of @kinds; 0 for a run without faults
 * @requires_whole: every generation has to succeed
 */
struct scenario_kinds {
	const char *name;
	int count;
	enum fault_kind kinds[4];
	bool requires_whole;
};

static const struct scenario_kinds scenarios[] = {
	{ "none", 0, { 0 }, true },
	{ "kills", 1, { FAULT_KILL }, false },
	{ "frozen-holder", 2, { FAULT_FREEZE, FAULT_CUT_DC_PLATFORM }, false },
	{ "lost-replies", 1, { FAULT_PLATFORM_DROP }, false },
	{ "silent", 3, { FAULT_SILENT, FAULT_SILENT_TO_CLIENT, FAULT_SILENT_TO_TARGET }, true },
	{ "restarts", 1, { FAULT_RESTART }, true },
	{ "races", 1, { FAULT_RACE }, true },
	{ "poison", 1, { FAULT_POISON }, false },
	{ "engine-crashes", 1, { FAULT_ENGINE_CRASH }, false },
	{ "services", 2, { FAULT_SERVICE_DROP, FAULT_SERVICE_REFUSE }, false },
	{ "drains", 1, { FAULT_DRAIN }, true },
	{ "late-chunks", 1, { FAULT_LATE_CHUNKS }, true },
};

static const struct scenario_kinds *scenario_find(const char *name)
{
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		if (strcmp(scenarios[i].name, name) == 0)
			return &scenarios[i];
	}
	return NULL;
}

bool faults_scenario_set(struct fault_run *r, const char *name)
{
	const struct scenario_kinds *s = scenario_find(name);

	r->scenario_name = name;
	r->requires_whole = s && s->requires_whole;
	return s != NULL;
}

static enum fault_kind kind_draw_weighted(struct scenario_random *random)
{
	double total = 0;
	double at;
	int kind = 0;

	for (int i = 0; i < FAULT_KINDS; i++)
		total += kinds[i].weight;
	at = scenario_uniform(random) * total;
	while (kind < FAULT_KINDS - 1 && at >= kinds[kind].weight)
		at -= kinds[kind++].weight;
	return (enum fault_kind)kind;
}

static enum fault_kind kind_draw(struct fault_run *r, struct scenario_random *random)
{
	const struct scenario_kinds *s = r->scenario_name ? scenario_find(r->scenario_name) : NULL;

	if (!s)
		return kind_draw_weighted(random);
	return s->kinds[(int)(scenario_uniform(random) * s->count)];
}

static int target_draw(struct scenario_random *random, enum fault_kind kind)
{
	int count = FAULTS_INSTANCES;

	switch (kind) {
	case FAULT_ENGINE_CRASH:
	case FAULT_CRASH_IN_CHANGE:
	case FAULT_DRAIN:
	case FAULT_LATE_CHUNKS:
		count = FAULTS_ENGINES;
		break;
	case FAULT_CUT_DC_PEERS:
	case FAULT_CUT_DC_PLATFORM:
	case FAULT_CUT_DC_BOTH:
	case FAULT_SERVICE_SLOW:
	case FAULT_SERVICE_REFUSE:
	case FAULT_SERVICE_DROP:
		count = 4;
		break;
	default:
		break;
	}
	return (int)(scenario_uniform(random) * count);
}

/*
 * Whether @f can be added to the schedule. Kills, freezes and restarts of one instance must not
 * overlap, so the later one is left out.
 */
static bool has_no_conflict(const struct fault_run *r, const struct fault *f)
{
	if (f->kind > FAULT_RESTART)
		return true;
	for (int i = 0; i < r->fault_count; i++) {
		const struct fault *o = &r->faults[i];

		if (o->kind > FAULT_RESTART || o->target != f->target)
			continue;
		if (o->kind == FAULT_RESTART || f->kind == FAULT_RESTART)
			return false;
		if (f->at_ms < o->end_ms + 2000)
			return false;
	}
	return true;
}

void faults_schedule_draw(struct fault_run *r)
{
	struct scenario_random random = { .seed = r->seed };
	int64_t at = FIRST_FAULT_MS;

	if (r->scenario_name && !scenario_find(r->scenario_name)->count)
		return;
	while (at < r->schedule_ms && r->fault_count < FAULTS_MAX) {
		struct fault f = { .kind = kind_draw(r, &random), .at_ms = at };
		const struct kind_spec *spec = &kinds[f.kind];
		double part = scenario_uniform(&random);

		f.end_ms =
			at + spec->min_ms + (int64_t)(part * (double)(spec->max_ms - spec->min_ms));
		if (f.end_ms > r->schedule_ms)
			f.end_ms = r->schedule_ms;
		f.target = target_draw(&random, f.kind);
		f.other =
			(f.target + 1 + (int)(scenario_uniform(&random) * (FAULTS_INSTANCES - 1))) %
			FAULTS_INSTANCES;
		if (has_no_conflict(r, &f))
			r->faults[r->fault_count++] = f;
		at += (int64_t)(scenario_interarrival_s(&random, 1000.0 / MEAN_GAP_MS) * 1000);
	}
}

void faults_schedule_print(const struct fault_run *r)
{
	for (int i = 0; i < r->fault_count; i++) {
		const struct fault *f = &r->faults[i];

		printf("schedule: %6.2f s to %6.2f s %s a=%d b=%d\n", (double)f->at_ms / 1000,
		       (double)f->end_ms / 1000, fault_name(f->kind), f->target, f->other);
	}
}
