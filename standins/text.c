#include "ibisgate/standins/text.h"
#include "ibisgate/common/hash.h"

#define BYTES_PER_PROMPT_TOKEN 4

uint64_t text_seed(struct str prompt, struct str model)
{
	return hash_mix(hash_str(prompt, 0), hash_str(model, 0));
}

void generated_text_token(uint64_t seed, int64_t i, char out[TEXT_TOKEN_BYTES + 1])
{
	static const char digits[] = "0123456789abcdef";
	uint32_t v = (uint32_t)(hash_mix(seed, (uint64_t)i) & 0xffffff);

	out[0] = ' ';
	for (int k = 0; k < TEXT_TOKEN_BYTES - 1; k++)
		out[1 + k] = digits[(v >> (20 - 4 * k)) & 0xf];
	out[TEXT_TOKEN_BYTES] = '\0';
}

int64_t prompt_token_count(int64_t bytes)
{
	return (bytes + BYTES_PER_PROMPT_TOKEN - 1) / BYTES_PER_PROMPT_TOKEN;
}
