#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 20
#define FETCH_RETRY_MS 500

int64_t control_config_version(struct control *c)
{
	int64_t version;

	rcu_read_lock();
	version = config_version(rcu_dereference(c->gate->config));
	rcu_read_unlock();
	return version;
}

/* Called with config_lock held; frees the old configuration once no reader is left. */
void control_config_publish(struct control *c, struct config *next)
{
	struct config *old = c->gate->config;

	if (config_version(next) < config_version(old) &&
	    !mechanism_is_disabled(MECHANISM_CONFIG_MONOTONIC)) {
		config_destroy(next);
		return;
	}
	rcu_assign_pointer(c->gate->config, next);
	metric_set(METRIC_CONFIG_VERSION, config_version(next));
	synchronize_rcu();
	config_destroy(old);
}

static char *json_value_text(const json_t *value)
{
	return value && !json_is_null(value) ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY)
					     : NULL;
}

static void recent_change_store(struct control *c, const struct config_change *change)
{
	struct peer_config_change *k =
		&c->recent_changes[change->version % CONTROL_RECENT_CHANGES_MAX];

	pthread_mutex_lock(&c->lock);
	free(k->value);
	*k = (struct peer_config_change){ .version = change->version };
	str_copy(k->key, sizeof(k->key), str_from(change->key));
	str_copy(k->author, sizeof(k->author), str_from(change->author));
	k->value = json_value_text(change->value);
	pthread_mutex_unlock(&c->lock);
}

int control_config_apply(struct control *c, const struct config_change *change, struct error *err)
{
	struct config *next;

	pthread_mutex_lock(&c->config_lock);
	next = config_apply(c->gate->config, change, err);
	if (next)
		control_config_publish(c, next);
	pthread_mutex_unlock(&c->config_lock);
	if (!next)
		return -1;
	recent_change_store(c, change);
	log_info("config-change", "version=%" PRId64 " key=%s author=%s", change->version,
		 change->key, change->author);
	event_record("config-change", NULL, NULL, NULL, "version=%" PRId64 " key=%.48s",
		     change->version, change->key);
	return 0;
}

/*
 * Queues the message for the config child, because publishing a configuration waits for its
 * readers, which would block the bus thread.
 */
void control_on_config(struct control *c, const struct peer_message *m)
{
	struct peer_message *copy = mem_alloc(sizeof(*copy));

	*copy = *m;
	if (m->kind == PEER_CONFIG_CHANGE && m->u.change.value)
		copy->u.change.value = mem_strdup(m->u.change.value);
	if (m->kind == PEER_CONFIG_PART)
		copy->u.part.text = mem_strdup(m->u.part.text);
	if (m->kind == PEER_CONFIG_BATCH) {
		struct peer_config_batch *b = &copy->u.batch;

		for (int i = 0; i < b->change_count; i++) {
			if (b->changes[i].value)
				b->changes[i].value = mem_strdup(b->changes[i].value);
		}
	}
	pthread_mutex_lock(&c->lock);
	if (c->inbox_count < CONTROL_INBOX_MAX) {
		c->inbox[c->inbox_count++] = copy;
		copy = NULL;
		pthread_cond_broadcast(&c->work_cond);
	}
	pthread_mutex_unlock(&c->lock);
	peer_message_destroy(copy);
}

static void newest_version_update(struct control *c, int64_t version, const char *from)
{
	pthread_mutex_lock(&c->lock);
	if (version > c->newest_version) {
		c->newest_version = version;
		str_copy(c->newest_version_sender, sizeof(c->newest_version_sender),
			 str_from(from));
	}
	pthread_mutex_unlock(&c->lock);
}

static void apply_peer_change(struct control *c, const struct peer_config_change *p,
			      const char *from)
{
	struct config_change change = { .version = p->version, .key = p->key, .author = p->author };
	struct error err = { 0 };

	if (p->value) {
		change.value = json_loads(p->value, JSON_DECODE_ANY, NULL);
		if (!change.value)
			return;
	}
	if (control_config_apply(c, &change, &err) && err.code == CONFIG_VERSION_GAP)
		newest_version_update(c, p->version, from);
	json_decref(change.value);
}

static bool recent_changes_copy(struct control *c, int64_t after, int64_t version,
				struct peer_config_batch *b)
{
	bool complete = true;

	pthread_mutex_lock(&c->lock);
	for (int64_t v = after + 1; v <= version && b->change_count < PEER_CONFIG_CHANGES_MAX;
	     v++) {
		const struct peer_config_change *k =
			&c->recent_changes[v % CONTROL_RECENT_CHANGES_MAX];

		if (k->version != v) {
			complete = false;
			break;
		}
		b->changes[b->change_count] = *k;
		b->changes[b->change_count++].value = k->value ? mem_strdup(k->value) : NULL;
	}
	pthread_mutex_unlock(&c->lock);
	return complete;
}

/* Replies with the recent changes after @after, or a full snapshot when they are not kept. */
static void config_fetch_reply(struct control *c, const char *to, int64_t after)
{
	int64_t version = control_config_version(c);
	struct peer_message *m;
	bool complete;

	if (after >= version)
		return;
	m = peer_message_create(PEER_CONFIG_BATCH);
	complete = recent_changes_copy(c, after, version, &m->u.batch);
	if (!complete && m->u.batch.change_count == 0)
		control_snapshot_send(c, to);
	else
		control_send(c, to, m);
	peer_message_destroy(m);
}

static void config_message_handle(struct control *c, const struct peer_message *m)
{
	switch (m->kind) {
	case PEER_CONFIG_CHANGE:
		apply_peer_change(c, &m->u.change, m->sender);
		break;
	case PEER_CONFIG_FETCH:
		config_fetch_reply(c, m->sender, m->u.fetch_after);
		break;
	case PEER_CONFIG_BATCH:
		for (int i = 0; i < m->u.batch.change_count; i++)
			apply_peer_change(c, &m->u.batch.changes[i], m->sender);
		break;
	case PEER_CONFIG_PART:
		control_snapshot_receive(c, m);
		break;
	default:
		break;
	}
}

static void inbox_handle(struct control *c)
{
	struct peer_message *list[64];
	int n;

	pthread_mutex_lock(&c->lock);
	n = c->inbox_count < 64 ? c->inbox_count : 64;
	for (int i = 0; i < n; i++)
		list[i] = c->inbox[i];
	c->inbox_count -= n;
	for (int i = 0; i < c->inbox_count; i++)
		c->inbox[i] = c->inbox[i + n];
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++) {
		config_message_handle(c, list[i]);
		peer_message_destroy(list[i]);
	}
}

static void config_fetch(struct control *c, int64_t version)
{
	char from[MEMBER_ID_MAX];
	struct peer_message *m;
	bool behind;

	pthread_mutex_lock(&c->lock);
	behind = c->newest_version > version;
	memcpy(from, c->newest_version_sender, sizeof(from));
	pthread_mutex_unlock(&c->lock);
	if (!behind || !from[0] || snapshot_busy(&c->snapshot, clock_boot_ms()))
		return;
	m = peer_message_create(PEER_CONFIG_FETCH);
	m->u.fetch_after = version;
	control_send(c, from, m);
	peer_message_destroy(m);
}

/*
 * While the platform is down, live peers replace the table: once the highest version that a peer
 * announces is in force here, the configuration is as current as that of the serving instances.
 */
static void config_check_peers(struct control *c, int64_t version)
{
	bool live = false;
	bool behind;

	pthread_mutex_lock(&c->lock);
	behind = version < c->newest_version;
	for (int i = 1; i < member_count(c->members) && !behind; i++) {
		const struct member *m = member_at(c->members, i);

		if (m->state != MEMBER_LIVE)
			continue;
		live = true;
		behind = version < m->config_version;
	}
	pthread_mutex_unlock(&c->lock);
	if (live && !behind)
		atomic_store(&c->has_config, true);
}

static bool has_config_work(struct control *c)
{
	return c->inbox_count || !atomic_load(&c->has_config);
}

int control_config_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	struct error ignored = { 0 };
	bool started = false;
	int64_t fetch_ms = 0;
	int64_t poll_ms = 0;

	while (control_wait_for_work(c, has_config_work, fetch_ms < poll_ms ? fetch_ms : poll_ms,
				     LOOP_MS)) {
		int64_t now = clock_boot_ms();

		inbox_handle(c);
		if (now >= fetch_ms) {
			config_fetch(c, control_config_version(c));
			fetch_ms = now + FETCH_RETRY_MS;
		}
		if (now >= poll_ms) {
			started = started || control_log_load_snapshot(c, &ignored) == 0;
			if (started && control_log_read(c, &ignored) == 0)
				atomic_store(&c->has_config, true);
			poll_ms = clock_boot_ms() + c->settings->platform.config_poll_ms;
		}
		if (!atomic_load(&c->has_config))
			config_check_peers(c, control_config_version(c));
		child_account_cpu();
	}
	return 0;
}

void control_config_clear(struct control *c)
{
	for (int i = 0; i < c->inbox_count; i++)
		peer_message_destroy(c->inbox[i]);
	c->inbox_count = 0;
	snapshot_reset(&c->snapshot);
	for (int i = 0; i < CONTROL_RECENT_CHANGES_MAX; i++)
		free(c->recent_changes[i].value);
}
