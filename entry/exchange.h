#ifndef IBISGATE_ENTRY_EXCHANGE_H
#define IBISGATE_ENTRY_EXCHANGE_H

#include "ibisgate/policy/yield.h"
#include "internal.h"

/*
 * Maximum number of endpoints that one request may be sent to, whatever the configuration allows.
 */
#define ATTEMPTS_MAX 6

/**
 * struct attempt - one transmission of a request to one endpoint
 * @budget_exempt: not charged to the retry budget
 * @budget_charged: charged to the retry budget; refunded if it can't have reached the endpoint
 * @charged_tokens: prompt tokens counted in the endpoint's backlog until the engine has read them
 * @read_tokens: prompt tokens that the engine had to read
 * @queue_ahead_tokens: backlog ahead of them when the request was sent
 * @last_receive_ms: when bytes of its response last arrived; initially when it was sent
 * @progress_ms: when the head or the last event with a new id arrived
 * @event_ms: when the last event with a new id arrived; 0 before the first
 * @first_event_ms: when the first one arrived
 * @answer_goes_on: the answer has gone on after its first event
 * @bytes_since_event: bytes received since the last event with a new id
 * @is_paused: nothing is received because the caller has not read what came before, since
 *	@paused_ms
 * @is_waiting: the endpoint is silent, but no other one can take over
 * @has_handle: the request names the KV cache in @kv_source of its exchange
 * @prompt_pending: the endpoint is an engine that has not read the prompt yet
 * @response: decoded head; valid once @responded is set
 * @head: head of the response; valid while @call is
 */
struct attempt {
	struct endpoint *endpoint;
	struct http_exchange *call;
	enum wire_work work;
	bool budget_exempt;
	bool budget_charged;
	int64_t charged_tokens;
	int64_t read_tokens;
	int64_t queue_ahead_tokens;
	int64_t sent_ms;
	int64_t last_receive_ms;
	int64_t progress_ms;
	int64_t event_ms;
	int64_t first_event_ms;
	bool answer_goes_on;
	size_t bytes_since_event;
	bool is_paused;
	int64_t paused_ms;
	bool is_waiting;
	bool has_handle;
	bool prompt_pending;
	bool responded;
	struct endpoint_response response;
	const struct http_head *head;
	struct buf body;
};

/**
 * enum memory_hold_kind - where a generation needs memory
 * @HOLD_PREFILL: on the engine that prefills its prompt, until another one has fetched the KV cache
 * @HOLD_DECODE: on the engine that generates, from the placement on
 */
enum memory_hold_kind {
	HOLD_PREFILL,
	HOLD_DECODE,
	HOLD_KINDS,
};

/**
 * struct memory_hold - memory that a request needs on an engine
 * @endpoint: the engine; NULL for none
 * @since_ms: when the request was placed there
 */
struct memory_hold {
	struct endpoint *endpoint;
	int64_t tokens;
	int64_t since_ms;
};

/**
 * struct exchange - one caller's request until its answer is complete
 * @organisation: the caller's, valid as long as @table; NULL without one
 * @deadline_ms: earlier of the caller's own limit and the rule's timeout
 * @runs: attempts that an endpoint may have run
 * @refused: attempts that an endpoint has stated not to have run
 * @sends: total number of attempts
 * @reserved_sends: sends taken out of the retry budget in advance, at @reserved_ms
 * @response_started: bytes of a response have been sent to the caller
 * @begun_counted: see exchange_count_begun()
 * @closes: the caller has been told that the connection closes after the response
 * @events_sent: number of events sent to the caller
 * @order: ids of the events sent to the caller and received from the current engine
 * @first_byte_ms: time of the first byte of the response; 0 until then
 * @was_held_back: the caller has read more slowly than an endpoint sent, so that the times of the
 *	answer say nothing of the engines
 * @fallback: an endpoint's own error response, forwarded if retries on other endpoints bring
 *   nothing better
 * @fingerprint: equal for the same request sent again
 * @losses: attempts whose connection broke
 * @evidence: a retry that waits to learn whether the endpoint before has crashed, at most until
 *   @evidence.until_ms; @evidence.cause is what ended the attempt
 * @cache_offers: number of engines that the filled KV cache was offered to
 * @kv_source: filled KV cache that no engine can have taken over yet, or ""
 * @kv_filled_ms: when its handle arrived
 * @awaits_endpoint: may be sent again, but to no endpoint at the moment
 * @trail: endpoints and results of the attempts, for the log
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
	const struct organisation *organisation;
	const struct service_spec *spec;
	struct service *service;
	int64_t begun_ms;
	int64_t deadline_ms;
	struct event *timer;
	struct attempt attempt;
	struct place_choice choice;
	struct endpoint *decode;
	struct memory_hold holds[HOLD_KINDS];
	uint64_t attempted[ATTEMPTS_MAX];
	int attempted_count;
	int runs;
	int refused;
	int sends;
	bool first_counted;
	int reserved_sends;
	int64_t reserved_ms;
	bool response_started;
	bool begun_counted;
	bool closes;
	int events_sent;
	struct event_order order;
	int64_t first_byte_ms;
	struct event_stream events;
	bool was_held_back;
	struct buf fallback;
	uint64_t fingerprint;
	int losses;
	struct {
		struct crash_probe_wait wait;
		int64_t until_ms;
		const char *cause;
	} evidence;
	int cache_offers;
	char kv_source[128];
	char kv_handle[96];
	int64_t kv_filled_ms;
	struct http_address kv_owner;
	bool awaits_endpoint;
	char trail[160];
};

/**
 * exchange_count_begun - the request began to run at @at_ms; counted once, for its organisation
 *
 * A generation begins with its first event. A plain call begins when it reaches an endpoint, which
 * shows only later, so its send counts.
 */
void exchange_count_begun(struct exchange *x, int64_t at_ms);

/** exchange_decide_close - whether the head that is sent now announces the end of the connection */
bool exchange_decide_close(struct exchange *x);

int64_t exchange_remaining_ms(const struct exchange *x);

/**
 * exchange_match - find the rule, the organisation and the service of a request
 * @x: its table and decoded head are set; @organisation only when it is known without a key
 * @has_id: it carries a request id
 * @cause: set when the request is refused
 *
 * Return: status to answer without contacting an endpoint, or 0.
 */
int exchange_match(struct exchange *x, bool has_id, struct str host, struct str target,
		   const char **cause);

/** exchange_limit_ms - time that the request may take: the caller's limit or the rule's */
int64_t exchange_limit_ms(const struct exchange *x);

/** exchange_has_time - whether the request may still be sent */
bool exchange_has_time(const struct exchange *x, int64_t now_ms);

/* Scores of endpoints that differ by less than this are chosen among by the time of arrival. */
#define CALL_TIE_MAX 0.125

/**
 * exchange_call_score - cost of an endpoint of a service without engines, in requests in progress
 */
double exchange_call_score(const struct exchange *x, const struct endpoint *ep, int64_t now_ms);

/**
 * exchange_pick_endpoint - endpoint of a service without engines: the one with the fewest requests
 * in progress, weighted by its speed, preferring local and healthy ones
 *
 * Return: NULL when none is available.
 */
struct endpoint *exchange_pick_endpoint(const struct exchange *x, int64_t now_ms);

/** exchange_is_head - whether the request is HEAD, whose answers have no body */
bool exchange_is_head(const struct exchange *x);

/** exchange_is_repeatable - whether the request may run more than once */
bool exchange_is_repeatable(const struct exchange *x);

/** exchange_has_tried - whether the request has already been sent to @ep */
bool exchange_has_tried(const struct exchange *x, const struct endpoint *ep);

/**
 * exchange_can_place - whether another endpoint than those tried is available for the request
 */
bool exchange_can_place(const struct exchange *x, int64_t now_ms);

/** exchange_place - choose an endpoint and send the request, or answer when none is available */
void exchange_place(struct exchange *x);

/**
 * exchange_refuse - answer 503: the request has not run and will not; @retry_after_ms says when to
 * retry
 */
void exchange_refuse(struct exchange *x, const char *cause, int64_t retry_after_ms);

/**
 * exchange_fail - answer 502 or 504, or cut a response that has started; the request may have run
 */
void exchange_fail(struct exchange *x, int status, const char *cause);

/**
 * exchange_postpone - give up, unless the request may have run already and may still find an
 * endpoint: then it waits for one, until its deadline
 */
void exchange_postpone(struct exchange *x, const char *cause, int64_t retry_after_ms);

/** exchange_give_up - refuse when the request can't have run, else fail */
void exchange_give_up(struct exchange *x, const char *cause, int64_t retry_after_ms);

/** exchange_save_fallback - keep the endpoint's complete response as the fallback */
void exchange_save_fallback(struct exchange *x);

/** exchange_relay_response - forward a complete response of the endpoint */
void exchange_relay_response(struct exchange *x);

/** exchange_stream_done - finish after the last byte of the stream has been written */
void exchange_stream_done(struct exchange *x);
void exchange_trail_add(struct exchange *x, const struct endpoint *ep, const char *what);

/** exchange_priority - priority of the organisation, else of the rule; 0 (highest) to 9 */
int exchange_priority(const struct exchange *x);

/**
 * exchange_is_allowed - whether the configuration in force now allows the request to be sent
 * @organisation: set to the caller's organisation there; NULL without one
 *
 * An API key may be withdrawn while a request waits or is repeated.
 */
bool exchange_is_allowed(const struct exchange *x, const struct organisation **organisation);

/* attempt.c */
bool attempt_start(struct exchange *x, struct endpoint *ep, enum wire_work work,
		   struct endpoint *fetch_from);

/**
 * attempt_release_backlog - remove the prompt from the endpoint's backlog, since it has been read
 */
void attempt_release_backlog(struct exchange *x);

/** attempt_end - release the attempt and close its connection if it is still open */
void attempt_end(struct exchange *x);

/** attempt_return_reserved - give back the sends that were reserved and not used */
void attempt_return_reserved(struct exchange *x);

/** attempt_set_paused - stop or go on receiving the answer */
void attempt_set_paused(struct exchange *x, bool paused);

/** attempt_paused_ms - time for which the answer has not been received; 0 while it is */
int64_t attempt_paused_ms(const struct exchange *x, int64_t now_ms);

/** attempt_extend_silence - ignore the last @pause_ms, in which this process didn't run */
void attempt_extend_silence(struct exchange *x, int64_t pause_ms);

/** attempt_check_silence - retry elsewhere when the endpoint has stopped sending */
void attempt_check_silence(struct exchange *x, int64_t now_ms);

/** attempt_retry - try again after a failure, or give up with @cause */
void attempt_retry(struct exchange *x, const char *cause);

/**
 * attempt_check_evidence_wait - retry without knowing whether the endpoint before has crashed if
 * that takes too long
 */
void attempt_check_evidence_wait(struct exchange *x, int64_t now_ms);

/* suspects.c */

/** suspect_set_fingerprint - set what identifies the request when it is sent again */
void suspect_set_fingerprint(struct exchange *x);

/**
 * suspect_is_refused - whether the request, or a part of its prompt, was involved in too many
 * crashes
 */
bool suspect_is_refused(const struct exchange *x);

/** suspect_part_is_refused - the same for the parts alone; @part is set when one is */
bool suspect_part_is_refused(const struct exchange *x, uint64_t *part);

/** suspect_connection_lost - record that the connection broke while the request was at @ep */
void suspect_connection_lost(const struct exchange *x, struct endpoint *ep);

/** suspect_answer_goes_on - record that the current attempt's answer has gone on */
void suspect_answer_goes_on(struct exchange *x);

/** suspect_answer_complete - record that the current attempt's answer is complete */
void suspect_answer_complete(struct exchange *x);

/* memory_hold.c */

/** memory_hold_set - count the request's memory on @ep, and no longer where it was before */
void memory_hold_set(struct exchange *x, enum memory_hold_kind kind, struct endpoint *ep);

/** memory_hold_release - the request needs no memory of this kind any more */
void memory_hold_release(struct exchange *x, enum memory_hold_kind kind);

/* generation.c */
void generation_on_body(struct exchange *x, struct str bytes);
void generation_on_end(struct exchange *x);
void generation_on_prefilled(struct exchange *x);

/**
 * generation_patience_ms - time without a first or a next event after which callers give up, in
 * milliseconds
 */
int64_t generation_patience_ms(const struct exchange *x);

/**
 * generation_finish_estimate - statistics on the duration of generations with the request's
 * priority
 */
struct finish_estimate *generation_finish_estimate(const struct exchange *x);

/* Engines of a service that one placement looks at. */
#define GENERATION_ENGINES_MAX 512

/** enum room_verdict - whether a request is accepted while room may be short */
enum room_verdict {
	ROOM_FREE,
	/* It is expected to miss its deadline, or its caller's patience. */
	ROOM_TOO_LATE,
	/* Others cost callers more if they are turned away. */
	ROOM_GIVES_WAY,
};

/**
 * struct generation_plan - where a generation would go now, and what that is based on
 * @engines: @count engines that were looked at, of @eps
 * @figures: what was found for each, GENERATION_ENGINES_MAX of them; NULL when nobody asks
 * @is_local: only engines of this data centre were looked at
 * @verdict: whether there is room for a request that was not sent before
 * @room_is_short: the queue is long enough for instances to tell each other who uses the engines
 * @yield, @limits: what @verdict is based on
 */
struct generation_plan {
	struct place_engine engines[GENERATION_ENGINES_MAX];
	struct endpoint *eps[GENERATION_ENGINES_MAX];
	struct place_figures *figures;
	int count;
	bool is_local;
	enum room_verdict verdict;
	bool room_is_short;
	struct yield_request yield;
	struct finish_limits limits;
};

/**
 * generation_choose - choose engines, without sending anything or changing a belief
 * @x: only its @choice is set
 * @p: only its @figures has been set
 *
 * Return: false when no engine is usable.
 */
bool generation_choose(struct exchange *x, int64_t now_ms, struct generation_plan *p);

/** generation_refusal - cause of a refusal for @p->verdict; NULL when the request is accepted */
const char *generation_refusal(const struct generation_plan *p);

/** generation_retry_after_ms - when a request that was refused should come back */
int64_t generation_retry_after_ms(const struct exchange *x, const struct generation_plan *p);

/** generation_memory_retry_ms - when a request should come back for which no engine has memory */
int64_t generation_memory_retry_ms(const struct exchange *x);

/** generation_place - choose engines and send the request; false when no engine is usable */
bool generation_place(struct exchange *x, int64_t now_ms);

/** generation_on_prompt_read - the engine has read the prompt and now caches its parts */
void generation_on_prompt_read(struct exchange *x);

/** generation_on_prompt_unread - the attempt ends before the engine has read the prompt */
void generation_on_prompt_unread(struct exchange *x);

/**
 * generation_offer_cache - offer a filled KV cache to another engine after one has refused it
 *
 * Return: false when the cache could not be offered to another engine.
 */
bool generation_offer_cache(struct exchange *x);

/**
 * generation_forget_cache - forget a KV cache whose handle can't be used any more
 *
 * A handle can be taken once and lapses; its name may then be given to another request's cache.
 */
void generation_forget_cache(struct exchange *x);

/** generation_forget_lapsed_cache - the same if the engine may not hold the KV cache any more */
void generation_forget_lapsed_cache(struct exchange *x, int64_t now_ms);

/** generation_release_cache - free a filled KV cache that no engine will take over */
void generation_release_cache(struct exchange *x);

#endif
