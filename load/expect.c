#include <stdio.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/load/expect.h"

uint64_t expect_seed(struct str prompt, struct str model)
{
	return hash_mix(hash_str(prompt, 0), hash_str(model, 0));
}

void expect_token(uint64_t seed, uint64_t index, char out[EXPECT_TOKEN_LEN + 1])
{
	static const char digits[] = "0123456789abcdef";
	uint64_t value = hash_mix(seed, index) & 0xffffff;

	out[0] = ' ';
	for (int i = 0; i < 6; i++)
		out[1 + i] = digits[(value >> (20 - 4 * i)) & 15];
	out[EXPECT_TOKEN_LEN] = '\0';
}
