#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/duties.h"
#include "ibisgate/state/agreed_time.h"

/* Row of the lease. */
#define LEASE_KEY "duties"

/*
 * Interval between two announcements of the holder, in milliseconds, and the time without one after
 * which the first instance by name takes over; each further one waits longer by the last value.
 */
#define ANNOUNCE_MS 700
#define QUIET_MS 1700
#define QUIET_PER_RANK_MS 1000

/*
 * Announcements stop when a renewal is overdue, in milliseconds left of the term: others get to
 * watch the row before the term ends.
 */
#define ANNOUNCE_LEFT_MIN_MS 1500

/* Interval at which an instance reports its time of day to those that agree on the time. */
#define CLOCK_INTERVAL_MS 2000
#define CLOCK_READERS 3

/* Kinds of messages on REPORT_DUTIES; the kind is the first number. */
enum message_kind {
	/* Agreed time, fencing token, first window of usage that isn't reported. */
	MESSAGE_LEADER = 1,
	/* Fencing token of the tenure that ends. */
	MESSAGE_RELEASED,
	/* Sending process, its time of day. */
	MESSAGE_CLOCK,
	/* Fencing token, version of the lease's row since the last renewal. */
	MESSAGE_RENEWED,
};

/**
 * struct duties - see duties.h
 * @leader: id of the holder heard last, "" when it doesn't exchange messages with this instance
 * @leader_fencing: its fencing token
 * @heard_ms: when it was last heard; 0 when none ever was
 * @wanted_ms: since when there is work to do; 0 when there is none
 * @told_version: version of the lease's row that was told last
 */
struct duties {
	struct duty_host host;
	struct duty *duty;
	struct api_calls *calls;
	struct usage_reporter *usage;
	struct agreed_time time;
	uint64_t boot;
	char leader[48];
	int64_t leader_fencing;
	int64_t heard_ms;
	int64_t wanted_ms;
	int64_t announced_ms;
	int64_t clock_told_ms;
	int64_t held_fencing;
	int64_t told_version;
	bool counts_usage;
};

enum duty_wish duties_wish(bool wanted, bool held, bool ever_heard, int rank, int64_t quiet_ms)
{
	int64_t patience_ms = ever_heard || rank ? QUIET_MS : 0;

	if (!wanted)
		return DUTY_IGNORE;
	return held || quiet_ms >= patience_ms + rank * QUIET_PER_RANK_MS ? DUTY_HOLD : DUTY_IGNORE;
}

static void announce(struct duties *d, enum message_kind kind, int64_t now)
{
	uint64_t values[] = {
		kind,
		kind == MESSAGE_LEADER ? (uint64_t)agreed_time_unix_ms(&d->time, now) : 0,
		(uint64_t)d->held_fencing,
		d->usage ? (uint64_t)usage_reporter_done_before(d->usage) : 0,
	};

	d->announced_ms = now;
	d->host.send(d->host.ctx, &(struct duty_message){ .topic = REPORT_DUTIES,
							  .scope = DUTY_TO_ALL,
							  .also = "",
							  .values = values,
							  .count = 4 });
}

/* A successor may take a renewal that it was told of for one that it has read. */
static void tell_renewal(struct duties *d)
{
	int64_t version = duty_row_version(d->duty);
	uint64_t values[] = { MESSAGE_RENEWED, (uint64_t)d->held_fencing, (uint64_t)version };

	if (version == d->told_version)
		return;
	d->told_version = version;
	d->host.send(d->host.ctx, &(struct duty_message){ .topic = REPORT_DUTIES,
							  .scope = DUTY_TO_ALL,
							  .also = "",
							  .values = values,
							  .count = 3 });
}

static void tell_clock(struct duties *d, int64_t now)
{
	uint64_t values[] = { MESSAGE_CLOCK, d->boot, (uint64_t)clock_wall_ms() };

	if (now - d->clock_told_ms < CLOCK_INTERVAL_MS)
		return;
	d->clock_told_ms = now;
	d->host.send(d->host.ctx, &(struct duty_message){ .topic = REPORT_DUTIES,
							  .scope = DUTY_TO_ALL,
							  .first = CLOCK_READERS,
							  .also = d->leader,
							  .values = values,
							  .count = 3 });
}

static void leader_step(struct duties *d, int64_t now)
{
	int64_t fencing;

	if (!duty_is_held(d->duty, 0, now, &fencing))
		fencing = 0;
	metric_set(METRIC_DUTY_HELD, fencing != 0);
	if (fencing != d->held_fencing) {
		log_info("duty", "held=%d fencing=%" PRId64 " former=%" PRId64 " left_ms=%" PRId64,
			 fencing != 0, fencing, d->held_fencing, duty_left_ms(d->duty, now));
		d->held_fencing = fencing;
		d->announced_ms = 0;
		if (fencing) {
			d->leader[0] = '\0';
			d->leader_fencing = fencing;
		}
	}
	if (!fencing)
		return;
	tell_renewal(d);
	if (duty_left_ms(d->duty, now) >= ANNOUNCE_LEFT_MIN_MS &&
	    now - d->announced_ms >= ANNOUNCE_MS)
		announce(d, MESSAGE_LEADER, now);
}

static void wish_step(struct duties *d, const struct duties_view *v, bool wanted, int64_t now)
{
	int64_t since = d->heard_ms > d->wanted_ms ? d->heard_ms : d->wanted_ms;
	bool held = duty_fencing(d->duty) != 0;

	if (v->stopping) {
		if (d->held_fencing)
			announce(d, MESSAGE_RELEASED, now);
		duty_release(d->duty, now);
		return;
	}
	duty_step(d->duty, duties_wish(wanted, held, d->heard_ms != 0, v->rank, now - since), now);
}

void duties_step(struct duties *d, const struct duties_view *v, int64_t now_ms)
{
	bool wanted = (v->counts_usage && d->usage) || v->orders_workers;

	d->counts_usage = v->counts_usage;
	if (!wanted)
		d->wanted_ms = 0;
	else if (!d->wanted_ms)
		d->wanted_ms = now_ms;
	agreed_time_step(&d->time, clock_wall_ms(), now_ms);
	wish_step(d, v, wanted, now_ms);
	leader_step(d, now_ms);
	if (!wanted)
		return;
	if (d->usage && v->counts_usage) {
		tell_clock(d, now_ms);
		usage_reporter_step(d->usage, d->leader, agreed_time_unix_ms(&d->time, now_ms),
				    now_ms);
	}
}

static void hear_leader(struct duties *d, const struct duty_sender *from, const uint64_t *values,
			int64_t now)
{
	int64_t fencing = (int64_t)values[2];
	bool was_quiet = now - d->heard_ms >= QUIET_MS;

	if (fencing < d->leader_fencing)
		return;
	d->heard_ms = now;
	str_copy(d->leader, sizeof(d->leader), str_from(from->id));
	agreed_time_hear_leader(&d->time, (int64_t)values[1], now);
	if (d->usage)
		usage_reporter_set_done(d->usage, (int64_t)values[3]);
	if (fencing == d->leader_fencing && !was_quiet)
		return;
	d->leader_fencing = fencing;
	log_info("duty-leader", "sender=%s fencing=%" PRId64, from->id, fencing);
	if (d->usage)
		usage_reporter_new_leader(d->usage, now);
}

/* In a large deployment only the delegates reach the other data centres. */
static void pass_on(struct duties *d, const struct duty_sender *from, const uint64_t *values,
		    int count)
{
	if (!d->host.is_delegate(d->host.ctx))
		return;
	d->host.send(d->host.ctx,
		     &(struct duty_message){ .topic = REPORT_DUTIES,
					     .scope = from->is_remote ? DUTY_TO_DC : DUTY_TO_REMOTE,
					     .also = "",
					     .values = values,
					     .count = count });
}

static void hear_duties(struct duties *d, const struct duty_sender *from, const uint64_t *values,
			int count, int64_t now)
{
	switch (count ? values[0] : 0) {
	case MESSAGE_LEADER:
		if (count != 4)
			return;
		hear_leader(d, from, values, now);
		pass_on(d, from, values, count);
		break;
	case MESSAGE_RELEASED:
		if (count != 4 || (int64_t)values[2] < d->leader_fencing)
			return;
		if (d->usage)
			usage_reporter_set_done(d->usage, (int64_t)values[3]);
		/* The first instance by name takes over at once. */
		d->heard_ms = now - QUIET_MS;
		pass_on(d, from, values, count);
		break;
	case MESSAGE_CLOCK:
		if (count == 3)
			agreed_time_hear(&d->time, values[1], (int64_t)values[2], now);
		break;
	case MESSAGE_RENEWED:
		if (count != 3 || (int64_t)values[1] < d->leader_fencing)
			return;
		duty_note_row(d->duty, from->id, (int64_t)values[2], now);
		pass_on(d, from, values, count);
		break;
	default:
		break;
	}
}

void duties_hear(struct duties *d, enum report_topic topic, const struct duty_sender *from,
		 const uint64_t *values, int count, int64_t now_ms)
{
	if (topic == REPORT_DUTIES)
		hear_duties(d, from, values, count, now_ms);
	else if (topic == REPORT_USAGE && d->usage)
		usage_reporter_hear(d->usage, from, values, count, now_ms);
}

void duties_count(struct duties *d, uint64_t tag, int64_t at_ms)
{
	if (d->usage && d->counts_usage)
		usage_reporter_count(d->usage, tag, agreed_time_unix_ms(&d->time, at_ms));
}

struct duty *duties_lease(struct duties *d)
{
	return d->duty;
}

struct api_calls *duties_calls(struct duties *d)
{
	return d->calls;
}

struct duties *duties_create(const struct duties_options *o)
{
	struct duties *d = mem_zalloc(sizeof(*d));

	d->host = o->host;
	d->boot = hash_str(str_from(o->host.self), o->host.incarnation);
	d->duty = duty_create(&d->host, LEASE_KEY);
	d->calls = api_calls_create(&d->host);
	if (o->usage_window_ms > 0)
		d->usage = usage_reporter_create(
			&(struct usage_reporter_options){ .host = &d->host,
							  .duty = d->duty,
							  .calls = d->calls,
							  .window_ms = o->usage_window_ms,
							  .late_ms = o->usage_late_ms });
	return d;
}

void duties_destroy(struct duties *d)
{
	if (!d)
		return;
	usage_reporter_destroy(d->usage);
	api_calls_destroy(d->calls);
	duty_destroy(d->duty);
	free(d);
}
