#include <stdlib.h>
#include <string.h>

#include "fleet_impl.h"
#include "ibisgate/common/clock.h"

static int name_cmp(const void *a, const void *b)
{
	const struct endpoint *const *x = a;
	const struct endpoint *const *y = b;

	return strcmp((*x)->info.name, (*y)->info.name);
}

static bool same_kind(const struct endpoint *a, const struct endpoint *b)
{
	return a->info.role == b->info.role && strcmp(a->info.model, b->info.model) == 0;
}

static bool takes_work(const struct endpoint *ep)
{
	return ep->used && ep->listed && ep->info.engine && !ep->stop_count && !ep->info.leaving &&
	       !ep->down;
}

static void homes_assign(struct endpoint **eps, int n, int rank, int count)
{
	for (int i = 0; i < n; i++) {
		int before = 0;

		for (int k = 0; k < i; k++)
			before += same_kind(eps[k], eps[i]);
		/* With fewer engines than instances some instances share one. */
		eps[i]->away = before % count != rank;
	}
}

static void usual_set(struct endpoint *const *eps, int n, struct endpoint *of)
{
	int64_t prefill = 0;
	int64_t seqs = 0;
	int count = 0;

	for (int i = 0; i < n; i++) {
		if (!same_kind(eps[i], of))
			continue;
		prefill += eps[i]->load.prefill_backlog;
		seqs += eps[i]->load.decode_seqs;
		count++;
	}
	of->usual_prefill = prefill / count;
	of->usual_seqs = (int)(seqs / count);
}

static bool kind_has_home(struct endpoint *const *eps, int n, const struct endpoint *of)
{
	for (int i = 0; i < n; i++) {
		if (!eps[i]->away && same_kind(eps[i], of))
			return true;
	}
	return false;
}

void fleet_set_homes(struct fleet *f, int rank, int count)
{
	struct endpoint *eps[FLEET_ENDPOINTS_MAX];
	int n = 0;

	pthread_mutex_lock(&f->lock);
	f->instances = count;
	for (int i = 0; i < f->count; i++) {
		if (takes_work(&f->endpoints[i]))
			eps[n++] = &f->endpoints[i];
	}
	qsort(eps, (size_t)n, sizeof(eps) / FLEET_ENDPOINTS_MAX, name_cmp);
	homes_assign(eps, n, rank, count);
	/* An instance without a home of its own has no preference. */
	for (int i = 0; i < n; i++) {
		eps[i]->homeless = !kind_has_home(eps, n, eps[i]);
		usual_set(eps, n, eps[i]);
	}
	pthread_mutex_unlock(&f->lock);
}
