#include <stdlib.h>
#include <string.h>

#include "ibisgate/standins/platform.h"

#define RATE_BURST_S 0.25

size_t rows_seek(const struct rows *rows, const char *key)
{
	size_t low = 0;
	size_t high = rows->count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(rows->items[mid]->key, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct row *rows_find(const struct rows *rows, const char *key)
{
	size_t i = rows_seek(rows, key);

	if (i < rows->count && strcmp(rows->items[i]->key, key) == 0)
		return rows->items[i];
	return NULL;
}

struct row *rows_insert(struct rows *rows, const char *key)
{
	size_t i = rows_seek(rows, key);
	struct row *row;

	if (i < rows->count && strcmp(rows->items[i]->key, key) == 0)
		return rows->items[i];
	if (rows->count == rows->cap) {
		rows->cap = rows->cap ? rows->cap * 2 : 64;
		rows->items = mem_resize(rows->items, rows->cap * sizeof(struct row *));
	}
	memmove(&rows->items[i + 1], &rows->items[i], (rows->count - i) * sizeof(struct row *));
	row = mem_zalloc(sizeof(*row));
	row->key = mem_strdup(key);
	rows->items[i] = row;
	rows->count++;
	return row;
}

void rows_remove(struct rows *rows, const char *key)
{
	size_t i = rows_seek(rows, key);
	struct row *row;

	if (i == rows->count || strcmp(rows->items[i]->key, key) != 0)
		return;
	row = rows->items[i];
	rows->count--;
	memmove(&rows->items[i], &rows->items[i + 1], (rows->count - i) * sizeof(struct row *));
	free(row->key);
	json_decref(row->value);
	buf_free(&row->data);
	free(row);
}

void rate_init(struct rate *r, int64_t per_s)
{
	*r = (struct rate){
		.per_s = per_s,
		.tokens = 1 + (double)per_s * RATE_BURST_S,
		.at_us = mono_us(),
	};
}

bool rate_take(struct rate *r)
{
	int64_t now = mono_us();
	double most = 1 + (double)r->per_s * RATE_BURST_S;

	r->tokens += (double)(now - r->at_us) * (double)r->per_s / 1e6;
	r->at_us = now;
	if (r->tokens > most)
		r->tokens = most;
	if (r->tokens < 1)
		return false;
	r->tokens -= 1;
	return true;
}
