#ifndef IBISGATE_ENTRY_EXCHANGE_H
#define IBISGATE_ENTRY_EXCHANGE_H

#include "internal.h"

/* Endpoints that one request may be sent to, whatever the configuration allows. */
#define TRIED_MAX 6

/**
 * struct attempt - one sending of a request to one endpoint
 * @free_send: not counted in the budget of repeated sends
 * @extra: counted there, as long as it may reach the endpoint
 * @charged_tokens: prompt tokens counted in the endpoint's backlog until they are read
 * @read_tokens: prompt tokens that the engine had to read
 * @waited_tokens: backlog in front of them when it was sent
 * @heard_ms: when bytes of its response came last, at first when it was sent
 * @reading: the endpoint is an engine that has not read the prompt yet
 * @response: decoded head; valid once @responded
 * @head: the response's head, valid while @call is
 */
struct attempt {
	struct endpoint *endpoint;
	struct http_exchange *call;
	enum wire_work work;
	bool free_send;
	bool extra;
	int64_t charged_tokens;
	int64_t read_tokens;
	int64_t waited_tokens;
	int64_t sent_ms;
	int64_t heard_ms;
	bool reading;
	bool responded;
	struct endpoint_response response;
	const struct http_head *head;
	struct buf body;
};

/**
 * struct exchange - one caller's request until its answer is complete
 * @deadline_ms: earlier of the caller's own limit and the rule's time-out
 * @runs: attempts that an endpoint may have run
 * @refused: attempts that an endpoint has stated not to have run
 * @sends: attempts in all
 * @answer_begun: bytes of an answer have gone to the caller
 * @last_event: id of the last event given to the caller; -1 for none
 * @events_given: number of them
 * @first_ms: time of the first byte of the answer; 0 before
 * @fallback: an endpoint's own failure, passed on if trying elsewhere brings nothing better
 * @fingerprint: the same for the same request sent again; 0 for none
 * @cache_offers: engines that the filled cache was offered to
 * @cache_source: filled KV cache that waits for its taker, or ""
 */
struct exchange {
	struct cds_list_head link;
	struct entry *entry;
	struct caller *caller;
	const struct http_head *head;
	struct str body;
	struct inbound_request in;
	struct routing_table *table;
	const struct routing_rule *rule;
	const struct service_spec *spec;
	struct service *service;
	int64_t begun_ms;
	int64_t deadline_ms;
	struct event *timer;
	struct attempt attempt;
	struct place_choice choice;
	struct endpoint *decode;
	uint64_t tried[TRIED_MAX];
	int tried_count;
	int runs;
	int refused;
	int sends;
	bool first_counted;
	bool answer_begun;
	int64_t last_event;
	int events_given;
	int64_t first_ms;
	struct event_stream events;
	struct buf fallback;
	uint64_t fingerprint;
	int cache_offers;
	char cache_source[128];
	char cache_handle[96];
	struct http_address cache_owner;
	char trail[160];
};

int64_t exchange_left_ms(const struct exchange *x);

/** exchange_repeatable - whether it may run more than once */
bool exchange_repeatable(const struct exchange *x);

/** exchange_tried - whether the request has been sent to @ep already */
bool exchange_tried(const struct exchange *x, const struct endpoint *ep);

/** exchange_place - choose an endpoint and send, or answer when there is none */
void exchange_place(struct exchange *x);

/** exchange_refuse - nothing has run and nothing will: say so, with the time to come back */
void exchange_refuse(struct exchange *x, const char *cause, int64_t retry_after_ms);

/** exchange_fail - answer 502 or 504, or cut a begun answer; the request may have run */
void exchange_fail(struct exchange *x, int status, const char *cause);

/** exchange_give_up - refuse when nothing can have run, else fail */
void exchange_give_up(struct exchange *x, const char *cause, int64_t retry_after_ms);

/** exchange_keep_failure - keep the endpoint's whole response as the fallback */
void exchange_keep_failure(struct exchange *x);

/** exchange_relay - pass a whole response of the endpoint on */
void exchange_relay(struct exchange *x);

/** exchange_served - the stream's last byte has been written */
void exchange_served(struct exchange *x);
void exchange_note(struct exchange *x, const struct endpoint *ep, const char *what);

/** exchange_urgency - priority of its rule, 0 (first) to 9 */
int exchange_urgency(const struct exchange *x);

/* attempt.c */
bool attempt_start(struct exchange *x, struct endpoint *ep, enum wire_work work,
		   struct endpoint *fetch_from);

/** attempt_read - the prompt has been read: it no longer counts in the endpoint's backlog */
void attempt_read(struct exchange *x);

/** attempt_end - forget the attempt; closes its connection when it is still open */
void attempt_end(struct exchange *x);

/** attempt_check_silence - move on from an endpoint that says nothing any more */
void attempt_check_silence(struct exchange *x, int64_t now_ms);

/** attempt_again - try once more after a failure, or give up with @cause */
void attempt_again(struct exchange *x, const char *cause);

/* suspects.c */

/** suspect_refused - whether the request was running at too many crashes; sets its fingerprint */
bool suspect_refused(struct exchange *x);

/** suspect_cut - the connection broke while the request ran at @ep */
void suspect_cut(const struct exchange *x, struct endpoint *ep);

/* generation.c */
void generation_body(struct exchange *x, struct str bytes);
void generation_end(struct exchange *x);
void generation_prefilled(struct exchange *x);

/** generation_finish - what is known of the times of generations of the request's urgency */
struct finish_estimate *generation_finish(const struct exchange *x);

/** generation_place - choose engines; false when none is usable */
bool generation_place(struct exchange *x, int64_t now_ms);

/** generation_read - the engine has read the prompt: it keeps the parts */
void generation_read(struct exchange *x);

/** generation_unread - the attempt ends before the prompt was read */
void generation_unread(struct exchange *x);

/** generation_other_decode - hand a filled cache to another engine than the one that refused it */
bool generation_other_decode(struct exchange *x);

/** generation_drop_cache - free a filled cache that nobody will take */
void generation_drop_cache(struct exchange *x);

#endif
