#include <sodium.h>
#include <xxhash.h>

#include "ibisgate/common/hash.h"

#define DIGEST_SIZE 32

uint64_t hash_str(struct str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.data, s.len, seed);
}

uint64_t hash_mix(uint64_t a, uint64_t b)
{
	uint64_t z = a + 0x9e3779b97f4a7c15ULL * (b + 1);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

void hash_secret_hex(struct str s, char out[HASH_HEX_SIZE])
{
	hash_keyed_hex((struct str){ 0 }, s, out);
}

void hash_keyed_hex(struct str key, struct str s, char out[HASH_HEX_SIZE])
{
	unsigned char digest[DIGEST_SIZE];
	size_t key_len = key.len < crypto_generichash_KEYBYTES_MAX
				 ? key.len
				 : crypto_generichash_KEYBYTES_MAX;

	crypto_generichash(digest, sizeof(digest), (const unsigned char *)s.data, s.len,
			   key_len ? (const unsigned char *)key.data : NULL, key_len);
	sodium_bin2hex(out, HASH_HEX_SIZE, digest, sizeof(digest));
}

uint64_t random_u64(void)
{
	uint64_t v;

	randombytes_buf(&v, sizeof(v));
	return v;
}

int hash_rank(uint64_t key, uint64_t self, const uint64_t *others, int count)
{
	uint64_t own = hash_mix(key, self);
	int rank = 0;

	for (int i = 0; i < count; i++)
		rank += hash_mix(key, others[i]) > own;
	return rank;
}
