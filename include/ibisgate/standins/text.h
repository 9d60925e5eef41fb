#ifndef IBISGATE_STANDINS_TEXT_H
#define IBISGATE_STANDINS_TEXT_H

#include <stdint.h>

#include "ibisgate/common/str.h"

/* Length of a token: a space and six hex digits. */
#define TEXT_TOKEN_BYTES 7

/** text_seed - seed of the text that @model generates for @prompt */
uint64_t text_seed(struct str prompt, struct str model);

/** generated_text_token - write token @i of the text with @seed, NUL-terminated */
void generated_text_token(uint64_t seed, int64_t i, char out[TEXT_TOKEN_BYTES + 1]);

/** prompt_token_count - number of tokens in a prompt of @bytes bytes */
int64_t prompt_token_count(int64_t bytes);

#endif
