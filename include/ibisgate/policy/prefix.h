#ifndef IBISGATE_POLICY_PREFIX_H
#define IBISGATE_POLICY_PREFIX_H

#include <stdint.h>

#include "ibisgate/common/str.h"

#define PREFIX_PIECE_TOKENS 2000
#define PREFIX_PIECES_MAX 64

/**
 * struct prefix - salted hashes of the leading whole pieces of a prompt
 * @count: pieces
 * @hashes: hash of the first i + 1 pieces, chained from the organisation's salt
 *
 * The salt keeps organisations from sharing (and so from probing) cache entries.
 */
struct prefix {
	int count;
	uint64_t hashes[PREFIX_PIECES_MAX];
};

/** prefix_of - hashes of @prompt, @piece_bytes bytes a piece, salted with @salt */
struct prefix prefix_of(struct str prompt, uint64_t salt, int64_t piece_bytes);

/** prefix_home - rendezvous score of endpoint @name for the first piece; the highest is its home */
uint64_t prefix_home(const struct prefix *p, struct str name);

/**
 * struct prefix_index - bounded, approximate map from piece to the endpoints that hold it
 *
 * Fed by own dispatches and corrected by cache events. Not thread-safe: the owner locks.
 */
struct prefix_index;

struct prefix_index *prefix_index_create(int capacity);
void prefix_index_destroy(struct prefix_index *idx);
void prefix_index_insert(struct prefix_index *idx, uint64_t piece, int endpoint_id);
void prefix_index_remove(struct prefix_index *idx, uint64_t piece, int endpoint_id);

/** prefix_index_forget - drop all pieces of an endpoint that restarted or lost events */
void prefix_index_forget(struct prefix_index *idx, int endpoint_id);

/** prefix_index_match - leading pieces of @p believed to be on @endpoint_id */
int prefix_index_match(const struct prefix_index *idx, const struct prefix *p, int endpoint_id);

#endif
