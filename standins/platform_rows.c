#include <stdlib.h>
#include <string.h>

#include "ibisgate/standins/platform.h"

#define RATE_BURST_S 0.25

size_t row_map_lower_bound(const struct row_map *rows, const char *key)
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

struct row *row_map_find(const struct row_map *rows, const char *key)
{
	size_t i = row_map_lower_bound(rows, key);

	if (i < rows->count && strcmp(rows->items[i]->key, key) == 0)
		return rows->items[i];
	return NULL;
}

struct row *row_map_insert(struct row_map *rows, const char *key)
{
	size_t i = row_map_lower_bound(rows, key);
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

void row_map_remove(struct row_map *rows, const char *key)
{
	size_t i = row_map_lower_bound(rows, key);
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

void token_bucket_init(struct token_bucket *bucket, int64_t per_s)
{
	*bucket = (struct token_bucket){
		.per_s = per_s,
		.tokens = 1 + (double)per_s * RATE_BURST_S,
		.refilled_us = mono_now_us(),
	};
}

bool token_bucket_take(struct token_bucket *bucket)
{
	int64_t now_us = mono_now_us();
	double capacity = 1 + (double)bucket->per_s * RATE_BURST_S;

	bucket->tokens += (double)(now_us - bucket->refilled_us) * (double)bucket->per_s / 1e6;
	bucket->refilled_us = now_us;
	if (bucket->tokens > capacity)
		bucket->tokens = capacity;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}
