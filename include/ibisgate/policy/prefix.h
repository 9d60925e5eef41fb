#ifndef IBISGATE_POLICY_PREFIX_H
#define IBISGATE_POLICY_PREFIX_H

#include <stdint.h>

#include "ibisgate/common/str.h"

#define PREFIX_PIECE_TOKENS 2000
#define PREFIX_PIECES_MAX 64

/**
 * struct prefix - chained hashes of the leading pieces of a prompt
 * @count: number of whole pieces
 * @hashes: entry i is the hash of the first i + 1 pieces, chained from the organisation's salt
 *
 * A piece is a block of fixed size. The salt prevents organisations from sharing cache entries, and
 * so from probing the prompts of others.
 */
struct prefix {
	int count;
	uint64_t hashes[PREFIX_PIECES_MAX];
};

/** prefix_hash_prompt - hash @prompt in pieces of @piece_bytes bytes, starting the chain from @salt
 */
struct prefix prefix_hash_prompt(struct str prompt, uint64_t salt, int64_t piece_bytes);

/**
 * prefix_home_score - rendezvous hashing score of endpoint @name for the first piece of @p
 *
 * The endpoint with the highest score is the home of the prompt.
 *
 * Return: the score; 0 when @p has no pieces.
 */
uint64_t prefix_home_score(const struct prefix *p, struct str name);

/**
 * struct prefix_index - bounded, approximate map from a piece to the endpoints that cache it
 *
 * Filled from the requests that this instance dispatches and corrected by cache events of the
 * engines. Not thread-safe; the owner provides locking.
 */
struct prefix_index;

/** prefix_index_create - create an index for at most @capacity pieces */
struct prefix_index *prefix_index_create(int capacity);
void prefix_index_destroy(struct prefix_index *idx);
void prefix_index_insert(struct prefix_index *idx, uint64_t piece, int endpoint_id);
void prefix_index_remove(struct prefix_index *idx, uint64_t piece, int endpoint_id);

/** prefix_index_remove_endpoint - remove all pieces of an endpoint that restarted or lost cache
 * events */
void prefix_index_remove_endpoint(struct prefix_index *idx, int endpoint_id);

/** prefix_index_match_count - number of leading pieces of @p that the index has for @endpoint_id */
int prefix_index_match_count(const struct prefix_index *idx, const struct prefix *p,
			     int endpoint_id);

#endif
