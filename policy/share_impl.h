#ifndef IBISGATE_POLICY_SHARE_IMPL_H
#define IBISGATE_POLICY_SHARE_IMPL_H

#include "ibisgate/policy/share.h"

/**
 * struct org - an organisation with waiting tickets or with a charge that is not made up yet
 * @tag: start tag of its next ticket while tickets wait, finish tag of its last one otherwise
 * @seq: order of becoming backlogged, breaks ties
 * @pos: place in the heap of backlogged or of idle organisations
 * @cost: waiting cost of each class in microseconds
 * @next_skipped: set aside by share_skip_organisation() after this one
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

/* share_heap.c: organisations by tag and tickets by deadline, smallest first. */
void org_heap_fix(struct org_heap *h, int pos);
void org_heap_add(struct org_heap *h, struct org *o);
void org_heap_remove(struct org_heap *h, struct org *o);
struct org *org_heap_pop(struct org_heap *h);
void deadline_add(struct ticket_heap *h, struct share_ticket *t);
void deadline_remove(struct ticket_heap *h, struct share_ticket *t);

#endif
