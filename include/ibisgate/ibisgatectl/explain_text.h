#ifndef IBISGATE_IBISGATECTL_EXPLAIN_TEXT_H
#define IBISGATE_IBISGATECTL_EXPLAIN_TEXT_H

#include <jansson.h>

#include "ibisgate/common/str.h"

/**
 * explain_text_append - append an explanation as text for operators
 * @explanation: answer of POST /explain, see ibisgatectl(1); absent members are left out
 */
void explain_text_append(struct buf *out, const json_t *explanation);

#endif
