#include <math.h>
#include <stdlib.h>

#include "ibisgate/common/hash.h"
#include "share_impl.h"

#define BUCKETS_MIN 64
/* A weight of 0 would block the organisation forever. */
#define WEIGHT_MIN 1e-6

/* Hash table of organisations by name. */

static struct org **org_link(const struct share_queue *q, struct str name, uint64_t hash)
{
	struct org **link = &q->buckets[hash & (q->bucket_count - 1)];

	while (*link && ((*link)->hash != hash || !str_eq((*link)->name, name)))
		link = &(*link)->next;
	return link;
}

static struct org *org_find(const struct share_queue *q, struct str name)
{
	return *org_link(q, name, hash_str(name, 0));
}

static void buckets_resize(struct share_queue *q, size_t count)
{
	struct org **old = q->buckets;
	size_t old_count = q->bucket_count;

	q->buckets = mem_zalloc(count * sizeof(struct org *));
	q->bucket_count = count;
	for (size_t i = 0; i < old_count; i++) {
		while (old[i]) {
			struct org *o = old[i];
			struct org **head = &q->buckets[o->hash & (count - 1)];

			old[i] = o->next;
			o->next = *head;
			*head = o;
		}
	}
	free(old);
}

static struct org *org_create(struct share_queue *q, struct str name)
{
	struct org *o = mem_zalloc(sizeof(*o));
	struct org **head;

	if (q->org_count >= q->bucket_count)
		buckets_resize(q, 2 * q->bucket_count);
	o->name = (struct str){ str_dup(name), name.len };
	o->hash = hash_str(name, 0);
	o->tag = q->vtime;
	head = &q->buckets[o->hash & (q->bucket_count - 1)];
	o->next = *head;
	*head = o;
	q->org_count++;
	org_heap_add(&q->idle, o);
	return o;
}

/* @o must not be in a heap. */
static void org_destroy(struct share_queue *q, struct org *o)
{
	*org_link(q, o->name, o->hash) = o->next;
	q->org_count--;
	free((char *)o->name.data);
	free(o);
	if (q->bucket_count > BUCKETS_MIN && q->org_count < q->bucket_count / 8)
		buckets_resize(q, q->bucket_count / 2);
}

/*
 * Frees idle organisations whose tag is not later than the virtual time. A returning organisation
 * then starts from the virtual time, so that idle time gives no credit. When no ticket waits, the
 * busy period has ended: all idle organisations are freed and tags restart from 0, which prevents
 * the loss of floating-point precision.
 */
static void orgs_free_idle(struct share_queue *q)
{
	struct org_heap *idle = &q->idle;

	while (idle->count && (!q->deadlines.count || idle->items[0]->tag <= q->vtime))
		org_destroy(q, org_heap_pop(idle));
	if (!q->deadlines.count)
		q->vtime = 0;
}

static void org_set_weight(struct org *o, double weight)
{
	o->weight = weight > 0 ? weight : WEIGHT_MIN;
}

static struct share_ticket *org_first(const struct org *o)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (o->head[i])
			return o->head[i];
	}
	return NULL;
}

static void org_link_ticket(struct org *o, struct share_ticket *t)
{
	struct share_ticket *tail = o->tail[t->class];

	t->priv.org = o;
	t->priv.next = NULL;
	t->priv.prev = tail;
	t->priv.queued = true;
	if (tail)
		tail->priv.next = t;
	else
		o->head[t->class] = t;
	o->tail[t->class] = t;
	o->cost[t->class] += t->cost_us;
	o->depth++;
}

static void org_unlink_ticket(struct org *o, struct share_ticket *t)
{
	if (t->priv.prev)
		t->priv.prev->priv.next = t->priv.next;
	else
		o->head[t->class] = t->priv.next;
	if (t->priv.next)
		t->priv.next->priv.prev = t->priv.prev;
	else
		o->tail[t->class] = t->priv.prev;
	o->cost[t->class] -= t->cost_us;
	o->depth--;
	t->priv.org = NULL;
	t->priv.next = NULL;
	t->priv.prev = NULL;
	t->priv.queued = false;
}

struct share_queue *share_create(void)
{
	struct share_queue *q = mem_zalloc(sizeof(*q));

	buckets_resize(q, BUCKETS_MIN);
	return q;
}

void share_destroy(struct share_queue *q)
{
	if (!q)
		return;
	while (q->deadlines.count)
		share_cancel(q, q->deadlines.items[0]);
	orgs_free_idle(q);
	free(q->backlogged.items);
	free(q->idle.items);
	free(q->deadlines.items);
	free(q->buckets);
	free(q);
}

void share_enqueue(struct share_queue *q, struct share_ticket *t, int64_t now_ms)
{
	struct org *o = org_find(q, t->organisation);

	if (!o)
		o = org_create(q, t->organisation);
	org_set_weight(o, t->weight);
	t->arrival_ms = now_ms;
	if (!o->depth) {
		org_heap_remove(&q->idle, o);
		o->seq = q->seq++;
		org_heap_add(&q->backlogged, o);
	}
	org_link_ticket(o, t);
	deadline_add(&q->deadlines, t);
}

struct share_ticket *share_peek(struct share_queue *q)
{
	if (!q->backlogged.count)
		return NULL;
	return org_first(q->backlogged.items[0]);
}

void share_skip_organisation(struct share_queue *q)
{
	struct org *o = q->backlogged.count ? org_heap_pop(&q->backlogged) : NULL;

	if (!o)
		return;
	o->next_skipped = q->skipped_orgs;
	q->skipped_orgs = o;
}

void share_restore_skipped(struct share_queue *q)
{
	while (q->skipped_orgs) {
		struct org *o = q->skipped_orgs;

		q->skipped_orgs = o->next_skipped;
		o->next_skipped = NULL;
		org_heap_add(&q->backlogged, o);
	}
}

/* Removes @t and charges @charge_us to its organisation. */
static void ticket_remove(struct share_queue *q, struct share_ticket *t, int64_t charge_us)
{
	struct org *o = t->priv.org;

	deadline_remove(&q->deadlines, t);
	org_unlink_ticket(o, t);
	o->tag += (double)charge_us / o->weight;
	if (o->depth) {
		org_heap_fix(&q->backlogged, o->pos);
	} else {
		org_heap_remove(&q->backlogged, o);
		org_heap_add(&q->idle, o);
	}
	orgs_free_idle(q);
}

void share_admit(struct share_queue *q, struct share_ticket *t, int64_t now_ms)
{
	double start;

	if (!t->priv.queued)
		return;
	/*
	 * Virtual time advances to the smallest start tag, even when @t is not the next ticket. A
	 * later value would disadvantage organisations that arrive now.
	 */
	start = q->backlogged.items[0]->tag;
	for (const struct org *o = q->skipped_orgs; o; o = o->next_skipped)
		start = fmin(start, o->tag);
	if (start > q->vtime)
		q->vtime = start;
	ticket_remove(q, t, t->cost_us);
}

void share_cancel(struct share_queue *q, struct share_ticket *t)
{
	if (t->priv.queued)
		ticket_remove(q, t, 0);
}

void share_correct_charge(struct share_queue *q, struct str organisation, double weight,
			  int64_t charged_us, int64_t actual_us)
{
	struct org *o = org_find(q, organisation);

	/* A refund to an organisation that has no charge left would be credit for idle time. */
	if (charged_us == actual_us || (!o && actual_us < charged_us))
		return;
	if (!o)
		o = org_create(q, organisation);
	org_set_weight(o, weight);
	o->tag += (double)(actual_us - charged_us) / o->weight;
	org_heap_fix(o->depth ? &q->backlogged : &q->idle, o->pos);
	orgs_free_idle(q);
}

struct share_ticket *share_peek_expired(struct share_queue *q, int64_t now_ms)
{
	if (!q->deadlines.count || q->deadlines.items[0]->deadline_ms >= now_ms)
		return NULL;
	return q->deadlines.items[0];
}

/* Queued cost of the organisation in @lowest and higher classes. */
static double org_cost(const struct org *o, enum share_class lowest)
{
	double cost = 0;

	for (int i = 0; i <= (int)lowest; i++)
		cost += (double)o->cost[i];
	return cost;
}

/*
 * Work of the organisations in the heap subtree at @pos, other than @own, that is admitted before
 * their tags reach @tag. A heap has no smaller tag below a larger one, so that only organisations
 * with tags before @tag are visited.
 */
static double work_before(const struct share_queue *q, int pos, double tag, const struct org *own)
{
	const struct org *o = q->backlogged.items[pos];
	double work = 0;

	if (o != own)
		work = fmin((tag - o->tag) * o->weight, org_cost(o, CLASS_BACKGROUND));
	for (int i = 2 * pos + 1; i <= 2 * pos + 2 && i < q->backlogged.count; i++) {
		if (q->backlogged.items[i]->tag < tag)
			work += work_before(q, i, tag, own);
	}
	return work;
}

int64_t share_expected_wait_us(const struct share_queue *q, const struct share_ticket *t,
			       double admit_rate)
{
	struct org *own = org_find(q, t->organisation);
	double tag = q->vtime;
	double work = 0;

	if (own && (own->depth || own->tag > tag))
		tag = own->tag;
	if (own) {
		work = org_cost(own, t->class);
		tag += work / (t->weight > 0 ? t->weight : WEIGHT_MIN);
	}
	if (q->backlogged.count && q->backlogged.items[0]->tag < tag)
		work += work_before(q, 0, tag, own);
	if (work <= 0)
		return 0;
	if (admit_rate <= 0 || work / admit_rate >= (double)INT64_MAX)
		return INT64_MAX;
	return (int64_t)(work / admit_rate);
}

int share_depth(const struct share_queue *q)
{
	return q->deadlines.count;
}

bool share_class_parse(struct str name, enum share_class *out)
{
	static const char *const names[] = {
		[CLASS_URGENT] = "urgent",
		[CLASS_NORMAL] = "normal",
		[CLASS_BACKGROUND] = "background",
	};

	for (int i = 0; i < CLASS_COUNT; i++) {
		if (!str_eq_cstr(name, names[i]))
			continue;
		*out = (enum share_class)i;
		return true;
	}
	return false;
}
