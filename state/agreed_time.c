#include <stdlib.h>

#include "ibisgate/state/agreed_time.h"

/*
 * A report of a clock counts for this long, in milliseconds: longer than cuts mostly last, after
 * which late reports arrive.
 */
#define CLOCK_FRESH_MS 20000

/* Number of clocks, with the own one, from which on their median goes before the leader's time. */
#define CLOCKS_ENOUGH 3

/* Differences of the time that messages take, in milliseconds. */
#define WAY_MS 50

/* This process was paused if it makes no step for this long, in milliseconds. */
#define PAUSE_MS 400

static void forget_old(struct agreed_time *t, int64_t now_ms)
{
	int kept = 0;

	for (int i = 0; i < t->count; i++) {
		if (now_ms - t->clocks[i].heard_ms < CLOCK_FRESH_MS)
			t->clocks[kept++] = t->clocks[i];
	}
	t->count = kept;
}

/* What was heard before a pause of this process is as fresh as it was then. */
static void skip_pause(struct agreed_time *t, int64_t now_ms)
{
	int64_t pause_ms = t->step_ms ? now_ms - t->step_ms : 0;

	if (pause_ms < PAUSE_MS)
		return;
	t->step_ms = now_ms;
	for (int i = 0; i < t->count; i++) {
		t->clocks[i].heard_ms += pause_ms;
		t->clocks[i].confirmed_ms += pause_ms;
	}
	t->leader.heard_ms += t->leader.heard_ms ? pause_ms : 0;
	t->leader.confirmed_ms += pause_ms;
}

static void clock_hear(struct agreed_time_clock *c, int64_t offset_ms, int64_t now_ms)
{
	if (!c->heard_ms || offset_ms >= c->offset_ms - WAY_MS ||
	    now_ms - c->confirmed_ms >= CLOCK_FRESH_MS) {
		c->offset_ms = offset_ms;
		c->confirmed_ms = now_ms;
	}
	c->heard_ms = now_ms;
}

void agreed_time_hear(struct agreed_time *t, uint64_t who, int64_t unix_ms, int64_t now_ms)
{
	int at = 0;

	skip_pause(t, now_ms);
	while (at < t->count && t->clocks[at].who != who)
		at++;
	if (at == AGREED_TIME_CLOCKS_MAX)
		return;
	if (at == t->count)
		t->clocks[t->count++] = (struct agreed_time_clock){ .who = who };
	clock_hear(&t->clocks[at], unix_ms - now_ms, now_ms);
}

void agreed_time_hear_leader(struct agreed_time *t, int64_t unix_ms, int64_t now_ms)
{
	skip_pause(t, now_ms);
	clock_hear(&t->leader, unix_ms - now_ms, now_ms);
}

static int offset_compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t median(const struct agreed_time *t, int64_t own_ms)
{
	int64_t offsets[AGREED_TIME_CLOCKS_MAX + 1];
	int count = t->count + 1;

	offsets[0] = own_ms;
	for (int i = 0; i < t->count; i++)
		offsets[i + 1] = t->clocks[i].offset_ms;
	qsort(offsets, (size_t)count, sizeof(offsets[0]), offset_compare);
	return count % 2 ? offsets[count / 2] : (offsets[count / 2 - 1] + offsets[count / 2]) / 2;
}

void agreed_time_step(struct agreed_time *t, int64_t wall_ms, int64_t now_ms)
{
	skip_pause(t, now_ms);
	t->step_ms = now_ms;
	forget_old(t, now_ms);
	if (t->count + 1 >= CLOCKS_ENOUGH)
		t->offset_ms = median(t, wall_ms - now_ms);
	else if (t->leader.heard_ms && now_ms - t->leader.heard_ms < CLOCK_FRESH_MS)
		t->offset_ms = t->leader.offset_ms;
	else if (!t->known)
		t->offset_ms = wall_ms - now_ms;
	t->known = true;
}

int64_t agreed_time_unix_ms(const struct agreed_time *t, int64_t now_ms)
{
	return now_ms + t->offset_ms;
}
