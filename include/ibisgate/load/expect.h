#ifndef IBISGATE_LOAD_EXPECT_H
#define IBISGATE_LOAD_EXPECT_H

#include <stdint.h>

#include "ibisgate/common/str.h"

/** EXPECT_TOKEN_LEN - bytes of one token: a space and six hex digits */
#define EXPECT_TOKEN_LEN 7

/** expect_seed - seed of the deterministic answer of @model to @prompt */
uint64_t expect_seed(struct str prompt, struct str model);

/** expect_token - token @index of the answer with @seed, NUL-terminated */
void expect_token(uint64_t seed, uint64_t index, char out[EXPECT_TOKEN_LEN + 1]);

#endif
