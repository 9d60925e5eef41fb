#ifndef IBISGATE_STANDINS_ENGINE_H
#define IBISGATE_STANDINS_ENGINE_H

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/standins/common.h"
#include "ibisgate/standins/text.h"

/* Exit status of the process after an injected crash. */
#define ENGINE_CRASH_STATUS 42
/* The prefix cache divides a prompt into pieces of this length. */
#define ENGINE_PIECE_BYTES 8000
#define ENGINE_PIECE_TOKENS 2000
#define ENGINE_PIECES_MAX 64
#define ENGINE_NAME_MAX 64
#define ENGINE_EVENTS_MAX 4096
#define ENGINE_ORDERS_MAX 256
#define ENGINE_KV_MAX 1024
#define ENGINE_SAMPLE_MS 50
#define ENGINE_SAMPLES_MAX 1024

struct engine_options {
	int64_t port, prefill_rate, step_base_us, step_per_seq_us, slots, cache_pieces;
	int64_t load_lag_ms, cache_event_lag_ms, role_change_ms, check_fencing, kv_token_us;
	int64_t threads, tokens_per_chunk, leave_ms, drain_ms;
	double cache_event_loss;
	const char *name, *dc, *model, *role, *platform, *bind, *url;
};

enum seq_stage {
	SEQ_PREFILL,
	SEQ_WAIT_SLOT,
	SEQ_RUNNING,
	SEQ_FINISHED,
};

/**
 * struct seq - one admitted request
 * @next: next request in the engine's list; the engine's lock guards all fields up to @lock
 * @prefill_left: tokens still to prefill; an estimate until @started is set
 * @tokens_left: tokens still to generate; 0 from the start for a request that only prefills
 * @lock: guards the fields below; may be acquired while the engine's lock is held
 * @tokens_ready: tokens generated
 * @aborted: ended early by an order, a cancel request or its own connection
 */
struct seq {
	struct seq *next;
	enum seq_stage stage;
	bool started;
	int64_t priority;
	int64_t prompt_tokens;
	int64_t prefill_left;
	int64_t tokens_left;
	char attempt[ENGINE_NAME_MAX];
	const char *prompt;
	const char *requested_model; /* NULL: any */
	bool remote_decode;
	bool remote_prefill;
	int piece_count;
	uint64_t pieces[ENGINE_PIECES_MAX];

	pthread_mutex_t lock;
	pthread_cond_t changed;
	int64_t tokens_ready;
	bool finished;
	bool aborted;
};

struct cache_piece {
	uint64_t hash;
	int64_t last_used;
};

struct cache_event {
	int64_t seq;
	int64_t at_us;
	uint64_t piece;
	bool stored;
};

/**
 * struct engine_cache - prefix cache with LRU eviction
 * @use_counter: logical clock of cache_piece.last_used
 * @events: ring buffer of the latest events
 */
struct engine_cache {
	struct cache_piece *pieces;
	int count, capacity;
	int64_t use_counter;
	struct cache_event events[ENGINE_EVENTS_MAX];
	int64_t event_count;
	int64_t next_seq;
};

struct load_sample {
	int64_t at_us;
	int64_t prefill_backlog;
	int decode_seqs;
	int in_flight;
	bool changing;
	char role[ENGINE_NAME_MAX];
	char model[ENGINE_NAME_MAX];
};

struct engine_order {
	char id[128];
	char holder[ENGINE_NAME_MAX];
	char kind[16];
	char value[ENGINE_NAME_MAX];
	int64_t fencing;
	int64_t at_ms;
	bool accepted;
};

struct kv_entry {
	uint64_t handle;
	int64_t tokens;
};

struct engine_stats {
	int64_t requests, tokens, prefill_tokens, cached_tokens, bad_resume, cut_requests;
	int64_t cancelled, late_chunks;
};

struct engine_faults {
	char crash_marker[128];
	bool crash_in_change;
	bool load_frozen;
	int64_t stall_until_us;
	double slow_factor;
	/* Tokens after which the next stream falls silent; that stream resets it to -1 (unset). */
	_Atomic int64_t silent_after_tokens;
	/* Number of further streams that begin with a chunk of an earlier stream. */
	int64_t late_chunks;
};

/** struct engine_late_chunk - first token of the latest SSE response, which late_chunks repeats */
struct engine_late_chunk {
	char attempt[ENGINE_NAME_MAX];
	char token[TEXT_TOKEN_BYTES + 1];
};

/**
 * struct engine - state of the stand-in engine
 * @lock: guards all fields below it except atomics
 * @work_cond: signalled when the scheduler has work
 * @stop_cond: signalled at shutdown, to interrupt the wait for the end of a step
 * @conflicts: accepted orders whose fencing token is lower than that of an earlier accepted order
 */
struct engine {
	struct engine_options opt;
	char url[128];
	char boot_id[17];
	atomic_bool leaving;
	atomic_bool stopping;

	pthread_mutex_t lock;
	pthread_cond_t work_cond, stop_cond;
	char role[ENGINE_NAME_MAX];
	char model[ENGINE_NAME_MAX];
	struct seq *seqs, **seqs_tail;
	int in_flight;
	int running;
	struct engine_cache cache;
	struct load_sample samples[ENGINE_SAMPLES_MAX];
	int64_t sample_count;
	int64_t load_frozen_at_us;
	struct kv_entry kv[ENGINE_KV_MAX];
	int64_t kv_count;

	struct engine_order orders[ENGINE_ORDERS_MAX];
	int order_count;
	int current_order; /* index into orders, or -1 */
	int64_t order_done_us;
	char last_done[128];
	int64_t fencing_seen;
	int64_t fencing_accepted;
	int64_t conflicts, refused_stale, refused_busy;

	struct engine_faults faults;
	struct engine_late_chunk late;
	struct engine_stats stats;
};

void engine_crash(const char *reason) __attribute__((noreturn));

/* engine_cache.c; all functions with an engine need its lock held. */

/** engine_pieces_hash - hash each whole piece of @prompt, chained to @salt and earlier pieces */
int engine_pieces_hash(struct str prompt, uint64_t salt, uint64_t out[ENGINE_PIECES_MAX]);

/** engine_cache_match - number of leading pieces of @s that are cached; marks them as used */
int engine_cache_match(struct engine *e, const struct seq *s);
void engine_cache_store(struct engine *e, const struct seq *s);
void engine_cache_clear(struct engine *e);

/** engine_cache_events - events after sequence number @after that are past the reporting delay */
json_t *engine_cache_events(struct engine *e, int64_t after);

/* engine_sched.c */
void *engine_sched_run(void *engine);

/** engine_seq_admit_check - error code that engine_seq_admit() would return now, or NULL */
const char *engine_seq_admit_check(struct engine *e, const struct seq *s);

/** engine_seq_admit - queue @s; Return: NULL, or the error code of the refusal */
const char *engine_seq_admit(struct engine *e, struct seq *s);

/** engine_seq_remove - remove @s from the engine, whatever its stage */
void engine_seq_remove(struct engine *e, struct seq *s);

/**
 * engine_seqs_abort - abort unfinished requests; the caller holds the lock
 * @attempt: attempt id of the requests, or NULL for all
 *
 * Return: number of aborted requests.
 */
int engine_seqs_abort(struct engine *e, const char *attempt);

/** engine_kv_store - register an exported KV cache of @tokens tokens; Return: its handle */
uint64_t engine_kv_store(struct engine *e, int64_t tokens);

/** engine_kv_find - number of tokens of an exported KV cache; -1 for an unknown @handle */
int64_t engine_kv_find(struct engine *e, uint64_t handle);

/* engine_order.c */
int engine_order_post(struct engine *e, struct mg_connection *conn);
int engine_order_list(struct engine *e, struct mg_connection *conn);

/** engine_order_finish_due - finish the current order once its duration is over; takes the lock */
void engine_order_finish_due(struct engine *e);

/* engine_load.c */

/** engine_load_sample - append the current load to the history */
void engine_load_sample(struct engine *e);

/** engine_load_json - load report, delayed by the option load_lag_ms */
json_t *engine_load_json(struct engine *e);

/* engine_register.c */

/** engine_register_post - send one registration to the platform; errors are ignored */
void engine_register_post(struct engine *e, bool leaving);
void *engine_register_run(void *engine);

/* engine_request.c */
int engine_completions(struct engine *e, struct mg_connection *conn, bool chat);

/* engine_curl.c */

/** engine_curl_create - handle for a request whose response body is discarded, or NULL */
CURL *engine_curl_create(const char *url, long timeout_ms);

/* engine_kv.c */

/**
 * engine_kv_fetch - fetch a KV cache from another engine
 * @on_progress: called during the transfer; a non-zero return value aborts it
 *
 * Return: HTTP status, or 0 without a response.
 */
int engine_kv_fetch(const char *url, const char *handle, int (*on_progress)(void *ctx), void *ctx);

#endif
