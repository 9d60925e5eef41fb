#ifndef IBISGATE_ENTRY_EXPLAIN_H
#define IBISGATE_ENTRY_EXPLAIN_H

#include "ibisgate/entry/entry.h"

/**
 * entry_explain - explain where a described request would go now, without sending it
 *
 * Asks the functions that decide on requests and changes nothing. See entry_explain_fn and, for the
 * answer, ibisgatectl(1).
 */
int entry_explain(struct entry *e, struct str body, struct buf *out);

#endif
