#ifndef IBISGATE_STATE_LEAVING_SET_H
#define IBISGATE_STATE_LEAVING_SET_H

#include <stdbool.h>
#include <stdint.h>

/* Number of processes remembered; the oldest one is forgotten first. */
#define LEAVING_SET_MAX 1024

/**
 * struct leaving_set - processes of endpoints that have said that they leave
 *
 * What an endpoint says in an answer can be newer than its entry in the platform's list, and the
 * entry may expire and come back meanwhile.
 */
struct leaving_set {
	uint32_t tags[LEAVING_SET_MAX];
	int count;
	int next;
};

/** leaving_set_add - remember a process; false if it was known already */
bool leaving_set_add(struct leaving_set *s, uint32_t tag);
bool leaving_set_has(const struct leaving_set *s, uint32_t tag);

#endif
