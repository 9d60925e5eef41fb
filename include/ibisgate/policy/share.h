#ifndef IBISGATE_POLICY_SHARE_H
#define IBISGATE_POLICY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/** enum share_class - priority class of a request, highest first */
enum share_class {
	CLASS_URGENT,
	CLASS_NORMAL,
	CLASS_BACKGROUND,
	CLASS_COUNT,
};

/**
 * struct share_ticket - one request that waits for admission; owned by the caller
 * @organisation: name of the organisation; must outlive the ticket
 * @weight: weight of the organisation's share, > 0
 * @class: priority class within the organisation's share
 * @cost_us: estimated engine time in microseconds, from separate prices for prefill and decode
 * @deadline_ms: latest time of admission, after which the ticket expires
 * @arrival_ms: time of arrival; set by share_enqueue()
 * @priv: private state of the queue; has to be zero before share_enqueue()
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
 * Work conserving. Within an organisation, tickets are ordered by class and then by arrival. Not
 * thread-safe; the owner provides locking. See Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996.
 */
struct share_queue;

struct share_queue *share_create(void);

/** share_destroy - cancel all tickets and free the queue; the tickets stay with the caller */
void share_destroy(struct share_queue *q);

/** share_enqueue - add @t to the queue, which refers to it until it is admitted or cancelled */
void share_enqueue(struct share_queue *q, struct share_ticket *t, int64_t now_ms);

/** share_peek - ticket that is admitted next; NULL when no ticket waits */
struct share_ticket *share_peek(struct share_queue *q);

/**
 * share_skip_organisation - skip the organisation of share_peek(), which then returns that of the
 * next one
 *
 * Until share_restore_skipped(), only share_peek(), share_skip_organisation() and share_admit() of
 * a peeked ticket may be called. Virtual time does not advance past the tags of skipped
 * organisations.
 */
void share_skip_organisation(struct share_queue *q);

/** share_restore_skipped - return all skipped organisations to the queue */
void share_restore_skipped(struct share_queue *q);

/** share_admit - remove any queued ticket @t and charge its cost to its organisation */
void share_admit(struct share_queue *q, struct share_ticket *t, int64_t now_ms);

/** share_cancel - remove @t without charging its organisation */
void share_cancel(struct share_queue *q, struct share_ticket *t);

/** share_correct_charge - correct the charge for an admitted request when its actual cost is known
 */
void share_correct_charge(struct share_queue *q, struct str organisation, double weight,
			  int64_t charged_us, int64_t actual_us);

/** share_peek_expired - a queued ticket whose deadline has passed; NULL when there is none */
struct share_ticket *share_peek_expired(struct share_queue *q, int64_t now_ms);

/**
 * share_expected_wait_us - expected time until a new ticket like @t would be admitted
 * @admit_rate: engine microseconds that this instance can admit per microsecond
 *
 * Used to refuse requests on arrival. The backlog of an organisation that exceeds its share does
 * not delay organisations within their shares.
 *
 * Return: time in microseconds; INT64_MAX when nothing can be admitted.
 */
int64_t share_expected_wait_us(const struct share_queue *q, const struct share_ticket *t,
			       double admit_rate);

/** share_depth - number of queued tickets */
int share_depth(const struct share_queue *q);

/**
 * struct share_usage - engine time that organisations have used recently
 *
 * Usage decays exponentially with the time constant @window_ms of share_usage_create(). A time
 * before the latest one is treated as the latest. Not thread-safe; the owner provides locking.
 */
struct share_usage;

struct share_usage *share_usage_create(int64_t window_ms);
void share_usage_destroy(struct share_usage *u);

/** share_usage_add - add @used_us of admitted work to @organisation with @weight, > 0 */
void share_usage_add(struct share_usage *u, struct str organisation, double weight, int64_t used_us,
		     int64_t now_ms);

/**
 * share_usage_ratio - recent usage of @organisation as a multiple of its fair share
 *
 * The fair share is the recent usage of all organisations, divided among them by weight.
 *
 * Return: the multiple; 0 without recent usage.
 */
double share_usage_ratio(struct share_usage *u, struct str organisation, int64_t now_ms);

/** share_usage_exceeds_share - whether recent usage of @organisation clearly exceeds its fair share
 */
bool share_usage_exceeds_share(struct share_usage *u, struct str organisation, int64_t now_ms);

/** share_class_parse - parse the name of a class; false when it is unknown */
bool share_class_parse(struct str name, enum share_class *out);

#endif
