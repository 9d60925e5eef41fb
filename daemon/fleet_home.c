#include <stdlib.h>
#include <string.h>

#include "fleet_impl.h"

static int group_cmp(const struct endpoint *a, const struct endpoint *b)
{
	int order = strcmp(a->info.model, b->info.model);

	return order ? order : (int)a->info.role - (int)b->info.role;
}

/* Sorts engines by model and role, then by name, so that all instances get the same order. */
static int endpoint_cmp(const void *a, const void *b)
{
	const struct endpoint *x = *(const struct endpoint *const *)a;
	const struct endpoint *y = *(const struct endpoint *const *)b;
	int order = group_cmp(x, y);

	return order ? order : strcmp(x->info.name, y->info.name);
}

static bool accepts_work(const struct endpoint *ep)
{
	return ep->used && ep->listed && ep->info.is_engine && !ep->stop_count &&
	       !ep->info.leaving && !ep->down;
}

static int group_size(struct endpoint *const *eps, int n)
{
	int count = 1;

	while (count < n && group_cmp(eps[0], eps[count]) == 0)
		count++;
	return count;
}

/* Divides the @n engines of one model and role and stores their mean load in each of them. */
static void group_assign_homes(struct endpoint *const *eps, int n, int rank, int count)
{
	int64_t prefill = 0;
	int64_t seqs = 0;
	bool has_no_home = true;

	for (int i = 0; i < n; i++) {
		/* With fewer engines than instances some instances have no home engine. */
		eps[i]->is_peer_home = i % count != rank;
		has_no_home = has_no_home && eps[i]->is_peer_home;
		prefill += eps[i]->load.prefill_backlog;
		seqs += eps[i]->load.decode_seqs;
	}
	for (int i = 0; i < n; i++) {
		/* An instance without a home engine has no preference. */
		eps[i]->has_no_home = has_no_home;
		eps[i]->mean_prefill = prefill / n;
		eps[i]->mean_seqs = (int)(seqs / n);
	}
}

void fleet_set_homes(struct fleet *f, int rank, int count)
{
	struct endpoint *eps[FLEET_ENDPOINTS_MAX];
	int group;
	int n = 0;

	pthread_mutex_lock(&f->lock);
	f->instances = count;
	for (int i = 0; i < f->count; i++) {
		if (accepts_work(&f->endpoints[i]))
			eps[n++] = &f->endpoints[i];
	}
	qsort(eps, (size_t)n, sizeof(struct endpoint *), endpoint_cmp);
	for (int i = 0; i < n; i += group) {
		group = group_size(eps + i, n - i);
		group_assign_homes(eps + i, group, rank, count);
	}
	pthread_mutex_unlock(&f->lock);
}
