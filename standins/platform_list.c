#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/standins/platform.h"

static struct list_entry **list_head(struct list *l, bool instance)
{
	return instance ? &l->instances : &l->endpoints;
}

static json_t *entries_json(const struct list_entry *head)
{
	json_t *out = json_array();

	for (const struct list_entry *e = head; e; e = e->next)
		json_array_append(out, e->value);
	return out;
}

static void snapshots_trim(struct list *l)
{
	int64_t visible_us = mono_now_us() - l->lag_ms * 1000;
	struct list_snapshot *s = l->snapshots;
	struct list_snapshot *old;

	while (s && s->created_us > visible_us)
		s = s->next;
	if (!s)
		return;
	old = s->next;
	s->next = NULL;
	while (old) {
		struct list_snapshot *next = old->next;

		json_decref(old->value);
		free(old);
		old = next;
	}
}

static void snapshot_push(struct list *l)
{
	struct list_snapshot *s = mem_zalloc(sizeof(*s));

	s->created_us = mono_now_us();
	s->number = l->next_number++;
	s->value = json_pack("{s:o,s:o}", "instances", entries_json(l->instances), "endpoints",
			     entries_json(l->endpoints));
	s->next = l->snapshots;
	l->snapshots = s;
	snapshots_trim(l);
}

void list_init(struct list *l, int64_t lag_ms)
{
	pthread_mutex_init(&l->lock, NULL);
	l->lag_ms = lag_ms;
	/* Entity tags of an earlier run of the stand-in must not match. */
	l->boot_nonce = random_u64();
	snapshot_push(l);
	l->snapshots->created_us = INT64_MIN;
}

static struct list_entry **entry_find(struct list *l, bool instance, const char *id)
{
	struct list_entry **at = list_head(l, instance);

	while (*at && strcmp((*at)->id, id) != 0)
		at = &(*at)->next;
	return at;
}

bool list_entry_set(struct list *l, bool instance, const json_t *entry)
{
	const char *id = json_get_cstr(entry, instance ? "id" : "name", "");
	struct list_entry **at;
	struct list_entry *e;

	if (!id[0] || strlen(id) >= sizeof(e->id))
		return false;
	pthread_mutex_lock(&l->lock);
	at = entry_find(l, instance, id);
	if (!*at) {
		*at = mem_zalloc(sizeof(*e));
		str_copy((*at)->id, sizeof(e->id), str_from(id));
	}
	e = *at;
	e->ttl_ms = json_get_i64(entry, "ttl_ms", 0);
	e->refreshed_us = mono_now_us();
	/* A refresh that changes nothing creates no snapshot. */
	if (!e->value || !json_equal(e->value, entry)) {
		json_decref(e->value);
		e->value = json_deep_copy(entry);
		snapshot_push(l);
	}
	pthread_mutex_unlock(&l->lock);
	return true;
}

static void entry_remove(struct list_entry **at)
{
	struct list_entry *e = *at;

	*at = e->next;
	json_decref(e->value);
	free(e);
}

bool list_entry_remove(struct list *l, bool instance, const char *id)
{
	struct list_entry **at;
	bool found;

	pthread_mutex_lock(&l->lock);
	at = entry_find(l, instance, id);
	found = *at != NULL;
	if (found) {
		entry_remove(at);
		snapshot_push(l);
	}
	pthread_mutex_unlock(&l->lock);
	return found;
}

static bool entries_expire(struct list_entry **at, int64_t now_us)
{
	bool changed = false;

	while (*at) {
		const struct list_entry *e = *at;

		if (e->ttl_ms > 0 && now_us - e->refreshed_us > e->ttl_ms * 1000) {
			entry_remove(at);
			changed = true;
		} else {
			at = &(*at)->next;
		}
	}
	return changed;
}

void list_expire(struct list *l)
{
	int64_t now_us = mono_now_us();
	bool changed;

	pthread_mutex_lock(&l->lock);
	changed = entries_expire(&l->instances, now_us);
	changed |= entries_expire(&l->endpoints, now_us);
	if (changed)
		snapshot_push(l);
	pthread_mutex_unlock(&l->lock);
}

json_t *list_read(struct list *l, char *etag, size_t size)
{
	int64_t visible_us = mono_now_us() - l->lag_ms * 1000;
	const struct list_snapshot *s;
	json_t *out;

	pthread_mutex_lock(&l->lock);
	s = l->snapshots;
	while (s->next && s->created_us > visible_us)
		s = s->next;
	/*
	 * jansson's reference counts are atomic only if it was built that way, so another thread
	 * gets a copy instead of a reference.
	 */
	out = json_deep_copy(s->value);
	snprintf(etag, size, "\"%016" PRIx64 "-%" PRIu64 "\"", l->boot_nonce, s->number);
	pthread_mutex_unlock(&l->lock);
	return out;
}
