#ifndef IBISGATE_COMMON_HASH_H
#define IBISGATE_COMMON_HASH_H

#include <stdint.h>

#include "ibisgate/common/str.h"

/** hash_str - XXH3 64-bit hash of @s with @seed; not for secrets */
uint64_t hash_str(struct str s, uint64_t seed);

/** hash_mix - combine two hash values (SplitMix64 finaliser) */
uint64_t hash_mix(uint64_t a, uint64_t b);

#define HASH_HEX_SIZE 65

/** hash_secret_hex - BLAKE2b-256 of @s (libsodium) as 64 hex digits and a NUL; for API keys */
void hash_secret_hex(struct str s, char out[HASH_HEX_SIZE]);

/** hash_keyed_hex - hash_secret_hex() with a key of up to 64 bytes; for fingerprints and cache
 * salts */
void hash_keyed_hex(struct str key, struct str s, char out[HASH_HEX_SIZE]);

/** random_u64 - random number from the system's random source (libsodium) */
uint64_t random_u64(void);

/**
 * hash_rank - place of one among several in an order that differs from key to key
 * @self: hash of its id
 * @others: hashes of the ids of the others
 * @count: number of @others
 *
 * Rendezvous hashing: all that know the same others agree on the order.
 *
 * Return: number of @others that come first.
 */
int hash_rank(uint64_t key, uint64_t self, const uint64_t *others, int count);

#endif
