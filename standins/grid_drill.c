#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/standins/grid.h"

/* Time after the return in which the operator and the workers write their rows again. */
#define REWRITE_MS 500

/** struct drill - times of one drill in milliseconds, see grid_drill_start() */
struct drill {
	struct grid *grid;
	int64_t age_ms;
	int64_t away_ms;
	int64_t rewrite_ms;
};

void grid_write_record(struct grid *g, const struct grid_row *r)
{
	if (g->write_count == g->write_cap) {
		g->write_cap = g->write_cap ? g->write_cap * 2 : 256;
		g->writes = mem_resize(g->writes, sizeof(*g->writes) * (size_t)g->write_cap);
	}
	g->writes[g->write_count++] = (struct grid_write){
		.row = (int)(r - g->rows),
		.value = r->value ? mem_strdup(r->value) : NULL,
		.version = r->version,
		.at_ms = clock_boot_ms(),
	};
}

/* A row that the copy doesn't have is as one that was never written. */
static void rows_forget(struct grid *g)
{
	for (int i = 0; i < g->row_count; i++) {
		struct grid_row *r = &g->rows[i];

		free(r->value);
		r->value = NULL;
		r->version = 0;
		r->deleted = true;
	}
	g->version = 0;
}

static void row_restore(struct grid *g, const struct grid_write *w)
{
	struct grid_row *r = &g->rows[w->row];

	free(r->value);
	r->value = w->value ? mem_strdup(w->value) : NULL;
	r->version = w->version;
	r->deleted = !w->value;
	g->version = w->version;
}

/*
 * Goes back to what was written up to @copy_ms.
 * @lost: out: the writes since, owned by the caller
 *
 * Return: number of these writes.
 */
static int store_restore(struct grid *g, int64_t copy_ms, struct grid_write **lost)
{
	int kept = 0;
	int count;

	rows_forget(g);
	while (kept < g->write_count && g->writes[kept].at_ms <= copy_ms)
		row_restore(g, &g->writes[kept++]);
	if (g->oldest_version > g->version)
		g->oldest_version = g->version;
	count = g->write_count - kept;
	*lost = mem_zalloc(sizeof(**lost) * (size_t)(count + 1));
	memcpy(*lost, g->writes + kept, sizeof(**lost) * (size_t)count);
	g->write_count = kept;
	return count;
}

/* Rows of the operator and of the workers; those of the system under test stay lost. */
static bool is_written_again(const struct grid_row *r)
{
	return strcmp(r->table, "op") == 0 || strcmp(r->table, "servers") == 0;
}

static bool was_written_since(const struct grid *g, int row, int first_write)
{
	for (int i = first_write; i < g->write_count; i++) {
		if (g->writes[i].row == row)
			return true;
	}
	return false;
}

/* Writes the newest lost value of each row, unless the row has a newer one since the return. */
static void lost_write_again(struct grid *g, const struct grid_write *lost, int count,
			     int first_write)
{
	for (int i = count - 1; i >= 0; i--) {
		const struct grid_row *r = &g->rows[lost[i].row];

		if (is_written_again(r) && !was_written_since(g, lost[i].row, first_write))
			grid_row_put(g, r->table, r->key, lost[i].value);
	}
}

static void sleep_ms(int64_t ms)
{
	mono_sleep_until(mono_now_us() + ms * 1000);
}

static void *drill_run(void *ctx)
{
	struct drill *d = ctx;
	struct grid *g = d->grid;
	struct grid_write *lost;
	int64_t copy_ms = clock_boot_ms() - d->age_ms;
	int count, first_write;

	pthread_mutex_lock(&g->lock);
	g->mode = GRID_STORE_RESET;
	pthread_cond_broadcast(&g->rows_changed);
	pthread_mutex_unlock(&g->lock);
	sleep_ms(d->away_ms);

	pthread_mutex_lock(&g->lock);
	count = store_restore(g, copy_ms, &lost);
	first_write = g->write_count;
	g->era++;
	g->mode = GRID_STORE_UP;
	pthread_cond_broadcast(&g->rows_changed);
	pthread_mutex_unlock(&g->lock);
	sleep_ms(d->rewrite_ms);

	pthread_mutex_lock(&g->lock);
	lost_write_again(g, lost, count, first_write);
	pthread_mutex_unlock(&g->lock);
	for (int i = 0; i < count; i++)
		free(lost[i].value);
	free(lost);
	free(d);
	return NULL;
}

void grid_drill_start(struct grid *g, const json_t *req)
{
	struct drill *d = mem_zalloc(sizeof(*d));
	pthread_t thread;

	*d = (struct drill){
		.grid = g,
		.age_ms = json_get_i64(req, "age_ms", 0),
		.away_ms = json_get_i64(req, "away_ms", 0),
		.rewrite_ms = json_get_i64(req, "rewrite_ms", REWRITE_MS),
	};
	if (pthread_create(&thread, NULL, drill_run, d) != 0) {
		free(d);
		return;
	}
	pthread_detach(thread);
}

void grid_era_field(const struct grid *g, char out[GRID_ERA_FIELD_MAX])
{
	out[0] = '\0';
	if (g->era_text[0])
		snprintf(out, GRID_ERA_FIELD_MAX, "Store-Era: %s\r\n", g->era_text);
	else if (g->era)
		snprintf(out, GRID_ERA_FIELD_MAX, "Store-Era: %" PRId64 "\r\n", g->era);
}
