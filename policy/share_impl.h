#ifndef IBISGATE_POLICY_SHARE_IMPL_H
#define IBISGATE_POLICY_SHARE_IMPL_H

#include "ibisgate/policy/share.h"

/**
 * struct org - organisation with waiting tickets, or with a charge that the virtual time has not
 * passed yet
 * @tag: start tag of the next ticket if tickets are waiting, otherwise finish tag of the last
 *	ticket
 * @seq: order in which organisations became backlogged; breaks ties
 * @pos: index in the heap of backlogged or of idle organisations
 * @cost: cost of the waiting tickets per class, in microseconds
 * @next_skipped: next entry in the list of organisations skipped by share_skip_organisation()
 */
struct org {
	struct str name;
	uint64_t hash;
	struct org *next;
	double weight;
	double tag;
	uint64_t seq;
	int pos;
	int depth;
	int64_t cost[CLASS_COUNT];
	struct share_ticket *head[CLASS_COUNT];
	struct share_ticket *tail[CLASS_COUNT];
	struct org *next_skipped;
};

struct org_heap {
	struct org **items;
	int count;
	int cap;
};

struct ticket_heap {
	struct share_ticket **items;
	int count;
	int cap;
};

struct share_queue {
	double vtime;
	uint64_t seq;
	struct org **buckets;
	size_t bucket_count;
	size_t org_count;
	struct org_heap backlogged;
	struct org *skipped_orgs;
	struct org_heap idle;
	struct ticket_heap deadlines;
};

/* Implemented in share_heap.c: min-heaps of organisations by tag and of tickets by deadline. */
void org_heap_fix(struct org_heap *h, int pos);
void org_heap_add(struct org_heap *h, struct org *o);
void org_heap_remove(struct org_heap *h, struct org *o);
struct org *org_heap_pop(struct org_heap *h);
void deadline_add(struct ticket_heap *h, struct share_ticket *t);
void deadline_remove(struct ticket_heap *h, struct share_ticket *t);

#endif
