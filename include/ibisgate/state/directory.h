#ifndef IBISGATE_STATE_DIRECTORY_H
#define IBISGATE_STATE_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Keys of the platform and names have up to 200 bytes. */
#define DIRECTORY_ID_MAX 201
#define DIRECTORY_NAME_MAX 201

enum engine_stage {
	STAGE_NONE,
	STAGE_PREFILL,
	STAGE_DECODE,
};

/**
 * struct endpoint_entry - an endpoint's registration in the platform's list
 * @id: unique to the registration; a different @process_start_ms under the same id means a
 * different process
 * @slots: requests that the endpoint runs at once
 * @leaving: the endpoint is leaving and accepts no new requests
 * @leaves_ms: time until it ends, as of @version; 0 when it is not known
 * @reclaimable: of the cheaper kind that the platform may take back
 * @process_start_ms: start time of the process, Unix time in milliseconds
 * @version: version of the row; higher is newer
 */
struct endpoint_entry {
	char id[DIRECTORY_ID_MAX];
	char service[DIRECTORY_NAME_MAX];
	char address[32];
	char dc[DIRECTORY_NAME_MAX];
	int slots;
	bool leaving;
	int64_t leaves_ms;
	bool reclaimable;
	enum engine_stage stage;
	int64_t process_start_ms;
	int64_t version;
};

/**
 * enum directory_change - how an endpoint has changed
 * @DIRECTORY_RESTARTED: a new process has registered under the id; state of the previous process no
 *                    longer applies
 */
enum directory_change {
	DIRECTORY_ADDED,
	DIRECTORY_UPDATED,
	DIRECTORY_RESTARTED,
	DIRECTORY_LEAVING,
	DIRECTORY_REMOVED,
};

struct directory_held;
struct directory_slot;

/**
 * struct directory - endpoints known from the platform's list
 * @by_id: hash index of @slots
 * @defer_removals_until_ms: removals are deferred until this time, because entries may expire
 *                           during an outage of the list and be registered again shortly after it
 * @held: entries that are held back, by id, see directory_era_began()
 * @hold_until_ms: entries of the store's older copy are held back until then; 0 when none are
 * @copy_version: version of the first list of the era; later ones were written in it. 0 until then
 * @changed: called for each change
 * @ctx: argument of @changed
 */
struct directory {
	struct directory_slot **slots;
	struct directory_slot *by_id;
	int count;
	int cap;
	int64_t defer_removals_until_ms;
	struct directory_held *held;
	int64_t hold_until_ms;
	int64_t copy_version;
	void (*changed)(void *ctx, enum directory_change change, const struct endpoint_entry *e);
	void *ctx;
};

/** directory_init - @changed is called for each change, from inside the functions below */
void directory_init(struct directory *d,
		    void (*changed)(void *ctx, enum directory_change change,
				    const struct endpoint_entry *e),
		    void *ctx);
void directory_free(struct directory *d);

/** directory_put - add or update an entry; a version older than the known one is ignored */
void directory_put(struct directory *d, const struct endpoint_entry *e);

/** directory_remove - handle the removal of @id from the platform's list as of @version */
void directory_remove(struct directory *d, struct str id, int64_t version, int64_t now_ms);

/**
 * directory_list_begin, directory_list_end - enclose the directory_put() calls for a complete list
 * @version: version of the list
 *
 * Entries that were not put between the two calls are removed, unless they are newer than
 * @version.
 */
void directory_list_begin(struct directory *d, int64_t version);
void directory_list_end(struct directory *d, int64_t version, int64_t now_ms);

/**
 * struct directory_outage - what an instance knows of an outage of the list
 * @away_ms: when the list was last known to be away
 * @served_ms: when another instance is first known to have received a change; 0 if none has
 * @recovery_ms: time after the outage in which all removals must be carried out
 */
struct directory_outage {
	int64_t away_ms;
	int64_t served_ms;
	int64_t recovery_ms;
};

/**
 * directory_outage_ended - defer removals, because the list is back after an outage
 *
 * Endpoints write entries again that expired while the list was away. The instance may have been
 * the only one without it, so removals are not deferred beyond what a real outage would require.
 */
void directory_outage_ended(struct directory *d, const struct directory_outage *o, int64_t now_ms);

/**
 * directory_era_began - the store has come back from an older copy, or may have
 *
 * Endpoints write their entries again within a known time. Until then, entries of the copy count
 * only where they take work away from an endpoint: those that leave or belong to another process.
 * All others are held back, so that an endpoint that has left isn't used again, and removals are
 * deferred.
 */
void directory_era_began(struct directory *d, int64_t now_ms);

/** directory_apply_deferred - take what was held back, and remove, once their time has come */
void directory_apply_deferred(struct directory *d, int64_t now_ms);

/** directory_count_held - number of entries that are held back */
int directory_count_held(const struct directory *d);

/** directory_is_missing - whether the removal of @id is deferred */
bool directory_is_missing(const struct directory *d, struct str id);

/** directory_count_missing - number of entries whose removal is deferred */
int directory_count_missing(const struct directory *d);

/** directory_at - entry @i of @count, owned by the directory */
const struct endpoint_entry *directory_at(const struct directory *d, int i);

/** directory_find - entry of @id, owned by the directory; NULL if there is none */
const struct endpoint_entry *directory_find(const struct directory *d, struct str id);

#endif
