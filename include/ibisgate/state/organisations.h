#ifndef IBISGATE_STATE_ORGANISATIONS_H
#define IBISGATE_STATE_ORGANISATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Maximum size of a name in bytes, with its NUL. */
#define ORGANISATION_NAME_MAX 200

/**
 * struct organisation - customer that owns API keys
 * @name: valid as long as the table
 * @tag: hash of the name, which identifies the organisation in reports between instances
 * @priority: 0 (highest) to 9, which goes before the priority of a rule; -1 when it has none
 * @weight: weight relative to other organisations
 */
struct organisation {
	const char *name;
	uint64_t tag;
	int priority;
	double weight;
};

/**
 * struct organisations - the organisations of one version of the configuration, with their keys
 *
 * Keys are kept as hashes only, with a secret of this process. Lookups may come from any thread
 * once nothing is added any more.
 */
struct organisations;

/** organisations_create - empty table with a reference count of 1 */
struct organisations *organisations_create(void);

/** organisations_get - take a reference; @t may be NULL; from any thread */
struct organisations *organisations_get(struct organisations *t);

/** organisations_destroy - drop a reference; the last one frees the table; @t may be NULL */
void organisations_destroy(struct organisations *t);

/**
 * organisations_add - add an organisation
 *
 * Return: its index, or that of the same name; -1 when the name is empty or too long.
 */
int organisations_add(struct organisations *t, struct str name, int priority, double weight);

/**
 * organisations_add_key - the organisation at index @organisation owns @key
 *
 * Return: false when the key is empty or another organisation, which keeps it, owns it already.
 */
bool organisations_add_key(struct organisations *t, int organisation, struct str key);

int organisations_count(const struct organisations *t);

/** organisations_at - organisation by index, valid as long as @t is */
const struct organisation *organisations_at(const struct organisations *t, int index);

/** organisations_by_key - organisation that owns @key; NULL when none does */
const struct organisation *organisations_by_key(const struct organisations *t, struct str key);

/**
 * struct organisations_size - what a table takes
 * @bytes: memory without the allocator's own
 * @comparisons_max: most keys that one lookup compares
 */
struct organisations_size {
	size_t bytes;
	int comparisons_max;
};

struct organisations_size organisations_size(const struct organisations *t);

/** organisations_by_tag - organisation with the given tag; NULL when there is none */
const struct organisation *organisations_by_tag(const struct organisations *t, uint64_t tag);

#endif
