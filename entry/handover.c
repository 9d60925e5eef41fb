#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/platform/store.h"
#include "internal.h"

/*
 * State that an instance has loaded from the store, as JSON for an instance that starts while the
 * store is unreachable, or, without "endpoints", for one that has an older configuration:
 * {"config": the operator's text, "endpoints": [[id, service, address, data centre, slots, leaving,
 * stage, born, version], ...]}.
 *
 * Changes of endpoints for instances that don't ask the store: {"after": version, "version":
 * version, "away_age_ms": see struct endpoint_changes, "changes": [[the same, time until it ends,
 * reclaimable] or [id, version] of a removed one, ...]}; or {"lost": true}.
 */

#define ENDPOINT_FIELDS 9
#define CHANGE_FIELDS 11
#define REMOVAL_FIELDS 2

static json_t *encode_endpoint(const struct endpoint *ep)
{
	const struct endpoint_entry *e = &ep->entry;

	return json_pack("[s,s,s,s,i,b,i,I,I]", e->id, e->service, e->address, e->dc, e->slots,
			 ep->is_leaving, (int)e->stage, (json_int_t)e->process_start_ms,
			 (json_int_t)e->version);
}

static json_t *encode_change(const struct store_row *row)
{
	struct endpoint_entry e;
	struct error err = { 0 };

	if (row->deleted || store_endpoint_decode(row, &e, &err) < 0)
		return json_pack("[s,I]", row->key, (json_int_t)row->version);
	return json_pack("[s,s,s,s,i,b,i,I,I,I,b]", e.id, e.service, e.address, e.dc, e.slots,
			 e.leaving, (int)e.stage, (json_int_t)e.process_start_ms,
			 (json_int_t)e.version, (json_int_t)e.leaves_ms, e.reclaimable);
}

void handover_encode_changes(const struct endpoint_changes *c, struct buf *out)
{
	json_t *changes = json_array();
	json_t *json;

	for (int i = 0; i < c->rows->count; i++) {
		/* A key that can't be represented names no endpoint. */
		if (c->rows->rows[i].key[0])
			json_array_append_new(changes, encode_change(&c->rows->rows[i]));
	}
	json = json_pack("{s:I,s:I,s:I,s:o}", "after", (json_int_t)c->after, "version",
			 (json_int_t)c->version, "away_age_ms", (json_int_t)c->away_age_ms,
			 "changes", changes);
	json_append(out, json);
	json_decref(json);
}

void handover_encode_lost(struct buf *out)
{
	buf_printf(out, "{\"lost\":true}");
}

void handover_encode_config(const struct entry *e, struct buf *out)
{
	json_t *json = json_pack("{s:s#}", "config", e->config_text.data, (int)e->config_text.len);

	json_append(out, json);
	json_decref(json);
}

void handover_encode(const struct entry *e, struct buf *out)
{
	json_t *endpoints = json_array();
	const struct endpoint *ep;
	json_t *json;

	cds_list_for_each_entry(ep, &e->endpoints, link)
		json_array_append_new(endpoints, encode_endpoint(ep));
	json = json_pack("{s:s#,s:o}", "config", e->config_text.data, (int)e->config_text.len,
			 "endpoints", endpoints);
	json_append(out, json);
	json_decref(json);
}

static bool list_string_at(const json_t *list, size_t i, char *out, size_t size)
{
	const json_t *s = json_array_get(list, i);

	return json_is_string(s) &&
	       str_copy(out, size,
			(struct str){ .data = json_string_value(s), .len = json_string_length(s) });
}

static bool decode_endpoint(const json_t *list, size_t fields, struct endpoint_entry *e)
{
	int64_t stage = json_integer_value(json_array_get(list, 6));
	struct error err = { 0 };

	*e = (struct endpoint_entry){
		.slots = (int)json_integer_value(json_array_get(list, 4)),
		.leaving = json_is_true(json_array_get(list, 5)),
		.process_start_ms = json_integer_value(json_array_get(list, 7)),
		.version = json_integer_value(json_array_get(list, 8)),
		.leaves_ms = json_integer_value(json_array_get(list, 9)),
		.reclaimable = json_is_true(json_array_get(list, 10)),
	};
	if (stage == STAGE_PREFILL || stage == STAGE_DECODE)
		e->stage = (enum engine_stage)stage;
	return json_array_size(list) == fields && list_string_at(list, 0, e->id, sizeof(e->id)) &&
	       list_string_at(list, 1, e->service, sizeof(e->service)) &&
	       list_string_at(list, 2, e->address, sizeof(e->address)) &&
	       list_string_at(list, 3, e->dc, sizeof(e->dc)) && store_endpoint_check(e, &err) == 0;
}

/*
 * Version of the change; 0 when it is malformed. Changes up to version @known are known, and maybe
 * later ones of the same endpoint, too.
 */
static int64_t change_apply(struct entry *e, const json_t *item, int64_t known)
{
	int64_t version = json_integer_value(json_array_get(item, 1));
	struct endpoint_entry entry;
	char id[DIRECTORY_ID_MAX];

	if (json_array_size(item) == REMOVAL_FIELDS) {
		if (version <= 0)
			return 0;
		/* A longer id is that of no endpoint in the directory. */
		if (version > known && list_string_at(item, 0, id, sizeof(id)))
			store_watch_remove(e, id, version);
		return version;
	}
	if (!decode_endpoint(item, CHANGE_FIELDS, &entry))
		return 0;
	if (entry.version > known)
		directory_put(&e->directory, &entry);
	return entry.version;
}

static void changes_apply(struct entry *e, struct store_watch *w, const json_t *json,
			  const json_t *changes, const char *from)
{
	int64_t away_age_ms = json_get_i64(json, "away_age_ms", -1);
	int64_t after = json_get_i64(json, "after", 0);
	int64_t version = json_get_i64(json, "version", 0);
	int64_t known = store_watch_version(w);
	int64_t now = clock_boot_ms(), newest = 0;
	json_t *item;
	size_t i;

	if (away_age_ms >= 0 && store_watch_missed_outage(w, now - away_age_ms))
		directory_outage_ended(
			&e->directory,
			&(struct directory_outage){ .away_ms = now - away_age_ms,
						    .recovery_ms = e->settings.bounds.recovery_ms },
			now);
	if (!store_watch_takes(w, after, version))
		return;
	json_array_foreach(changes, i, item) {
		int64_t changed = change_apply(e, item, known);

		if (!changed) {
			/* The store is asked for it, since this instance is behind then. */
			log_warn("endpoint-change-ignored", "peer=%s version=%" PRId64, from,
				 store_version_number(version));
			return;
		}
		if (changed > newest)
			newest = changed;
	}
	store_watch_told(w, version, newest);
}

void handover_apply(struct entry *e, struct str text, const char *from)
{
	json_t *json = json_parse(text);
	const json_t *changes = json_object_get(json, "changes");
	struct store_watch *w = e->watches[1];
	struct str config = json ? json_get_str(json, "config") : (struct str){ 0 };
	const json_t *endpoints = json_object_get(json, "endpoints");
	/* A list loaded from the store takes precedence over another instance's copy. */
	bool needs_endpoints = !e->table || !e->endpoints_loaded;
	struct endpoint_entry entry;
	struct error err = { 0 };
	json_t *item;
	size_t i;

	if (json_is_true(json_object_get(json, "lost"))) {
		if (w)
			store_watch_peer_lost(w, clock_boot_ms());
		goto out;
	}
	if (json_is_array(changes)) {
		if (w)
			changes_apply(e, w, json, changes, from);
		goto out;
	}
	if (!config.len || entry_config_set(e, config, from, &err) < 0) {
		log_warn("handover-ignored", "peer=%s error=\"%s\"", from, err.text);
		goto out;
	}
	if (!endpoints || !needs_endpoints)
		goto out;
	json_array_foreach(endpoints, i, item) {
		if (decode_endpoint(item, ENDPOINT_FIELDS, &entry))
			directory_put(&e->directory, &entry);
	}
	e->endpoints_loaded = true;
	log_info("handover", "peer=%s config=%lld endpoints=%d", from,
		 e->table ? (long long)e->table->version : 0LL, e->directory.count);
out:
	json_decref(json);
}
