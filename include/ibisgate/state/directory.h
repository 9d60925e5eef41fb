#ifndef IBISGATE_STATE_DIRECTORY_H
#define IBISGATE_STATE_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

#define DIRECTORY_ID_MAX 64
#define DIRECTORY_NAME_MAX 128

enum engine_stage {
	STAGE_NONE,
	STAGE_PREFILL,
	STAGE_DECODE,
};

/**
 * struct endpoint_entry - what an endpoint says of itself in the platform's list
 * @id: unique to the endpoint's registration; another @born under the same id is another process
 * @born: Unix milliseconds of its start
 * @version: of the row that said so; higher is newer
 */
struct endpoint_entry {
	char id[DIRECTORY_ID_MAX];
	char service[DIRECTORY_NAME_MAX];
	char address[32];
	char dc[DIRECTORY_NAME_MAX];
	int slots;
	bool leaving;
	enum engine_stage stage;
	int64_t born;
	int64_t version;
};

/**
 * enum directory_change - what a step did to an endpoint
 * @DIRECTORY_REBORN: another process goes on under the id; nothing of the former one holds
 */
enum directory_change {
	DIRECTORY_ADDED,
	DIRECTORY_UPDATED,
	DIRECTORY_REBORN,
	DIRECTORY_LEAVING,
	DIRECTORY_REMOVED,
};

struct directory_slot;

/**
 * struct directory - endpoints known from the platform's list
 * @by_id: index of @slots
 * @hold_until_ms: removals seen before this time wait for it: entries may lapse while the list
 *                 is away and come back shortly after it
 */
struct directory {
	struct directory_slot **slots;
	struct directory_slot *by_id;
	int count;
	int cap;
	int64_t hold_until_ms;
	void (*changed)(void *ctx, enum directory_change change, const struct endpoint_entry *e);
	void *ctx;
};

/** directory_init - @changed is called for each change, from inside the calls below */
void directory_init(struct directory *d,
		    void (*changed)(void *ctx, enum directory_change change,
				    const struct endpoint_entry *e),
		    void *ctx);
void directory_free(struct directory *d);

/** directory_put - an entry was read; older versions than the known one are ignored */
void directory_put(struct directory *d, const struct endpoint_entry *e);

/** directory_remove - the entry of @id is gone from the list as of @version */
void directory_remove(struct directory *d, struct str id, int64_t version, int64_t now_ms);

/**
 * directory_list_begin, directory_list_end - frame the entries of a whole list
 *
 * Entries that were not put between the two calls are removed as of @version.
 */
void directory_list_begin(struct directory *d);
void directory_list_end(struct directory *d, int64_t version, int64_t now_ms);

/** directory_hold - the list is back after an outage; believe removals only after @until_ms */
void directory_hold(struct directory *d, int64_t until_ms);

/** directory_step - carry out the removals whose hold has ended */
void directory_step(struct directory *d, int64_t now_ms);

const struct endpoint_entry *directory_find(const struct directory *d, struct str id);

#endif
