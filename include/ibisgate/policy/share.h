#ifndef IBISGATE_POLICY_SHARE_H
#define IBISGATE_POLICY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

enum share_class {
	CLASS_URGENT,
	CLASS_NORMAL,
	CLASS_BACKGROUND,
	CLASS_COUNT,
};

/**
 * struct share_ticket - one request that waits for admission; owned by the caller
 * @organisation: name; must outlive the ticket
 * @weight: share of the organisation, > 0
 * @class: priority inside the organisation's share
 * @cost_us: estimated engine time, prefill and decode priced apart
 * @deadline_ms: latest time of admission; the ticket expires after it
 * @arrival_ms: filled by share_enqueue()
 * @priv: intrusive state of the queue; zero before share_enqueue()
 */
struct share_ticket {
	struct str organisation;
	double weight;
	enum share_class class;
	int64_t cost_us;
	int64_t deadline_ms;
	int64_t arrival_ms;
	struct {
		void *org;
		struct share_ticket *next;
		struct share_ticket *prev;
		int deadline_pos;
		bool queued;
	} priv;
};

/**
 * struct share_queue - start-time fair queue over organisations
 *
 * Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996. Work conserving; inside an
 * organisation higher classes go first, equal classes in order of arrival. Not thread-safe: the
 * owner locks.
 */
struct share_queue;

struct share_queue *share_create(void);
void share_destroy(struct share_queue *q);
void share_enqueue(struct share_queue *q, struct share_ticket *t, int64_t now_ms);

/** share_peek - ticket that is to be admitted next; NULL when none waits */
struct share_ticket *share_peek(struct share_queue *q);

/**
 * share_hold - set the organisation of share_peek() aside, so that the next one is looked at
 *
 * Until share_resume() only share_peek(), share_hold() and share_admit() of a peeked ticket may be
 * called. Virtual time does not pass the organisations that are set aside.
 */
void share_hold(struct share_queue *q);
void share_resume(struct share_queue *q);

/** share_admit - take @t (any queued ticket) out and charge its cost to its organisation */
void share_admit(struct share_queue *q, struct share_ticket *t, int64_t now_ms);

/** share_cancel - take @t out without a charge */
void share_cancel(struct share_queue *q, struct share_ticket *t);

/** share_settle - correct the charge of an admitted request once its real cost is known */
void share_settle(struct share_queue *q, struct str organisation, double weight, int64_t charged_us,
		  int64_t actual_us);

/** share_expired - a queued ticket whose deadline has passed; NULL when there is none */
struct share_ticket *share_expired(struct share_queue *q, int64_t now_ms);

/**
 * share_wait_us - expected time until a new ticket like @t would be admitted
 * @floor_rate: engine microseconds that this instance can admit per microsecond
 *
 * Used for refusal on arrival: an organisation within its share is not charged for the backlog
 * of one that exceeds its share.
 */
int64_t share_wait_us(const struct share_queue *q, const struct share_ticket *t, double floor_rate);

/** share_depth - tickets that wait */
int share_depth(const struct share_queue *q);

/**
 * struct share_usage - engine time that organisations have used lately
 *
 * Use decays with the time constant @window_ms of share_usage_create(). Times that go back count
 * as the latest one seen. Not thread-safe: the owner locks.
 */
struct share_usage;

struct share_usage *share_usage_create(int64_t window_ms);
void share_usage_destroy(struct share_usage *u);

/** share_usage_add - @organisation of @weight, > 0, was admitted with work of @used_us */
void share_usage_add(struct share_usage *u, struct str organisation, double weight, int64_t used_us,
		     int64_t now_ms);

/**
 * share_usage_ratio - recent use of @organisation as a multiple of its share
 *
 * The share is its part, by weight among the organisations seen lately, of what all of them have
 * used. 0 when it has used nothing.
 */
double share_usage_ratio(struct share_usage *u, struct str organisation, int64_t now_ms);

/** share_usage_above - @organisation has used clearly more than its share lately */
bool share_usage_above(struct share_usage *u, struct str organisation, int64_t now_ms);

bool share_class_parse(struct str name, enum share_class *out);

#endif
