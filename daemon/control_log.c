#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"

/* The configuration log consists of the rows "config/head" and "config/change/<version>". */

#define HEAD_KEY "config/head"
#define CHANGE_PREFIX "config/change/"
#define SNAPSHOT_KEY "config/snapshot"
#define SNAPSHOT_EVERY 100
#define SCAN_LIMIT 100
#define COMMIT_LIMIT_MS 5000
#define RETRY_MS 100

/* How long a change waits for the platform's limit on the rate of writes, in milliseconds. */
#define RATE_WAIT_MS 2000

/* Versions have a fixed number of digits, so that keys sort in the order of versions. */
void control_change_key(char *out, size_t size, int64_t version)
{
	snprintf(out, size, CHANGE_PREFIX "%012" PRId64, version);
}

json_t *control_change_json(const struct config_change *change, const char *token)
{
	json_t *o = json_object();

	json_object_set_new(o, "version", json_integer(change->version));
	json_object_set_new(o, "key", json_string(change->key));
	json_object_set_new(o, "author", json_string(change->author));
	json_object_set_new(o, "token", json_string(token));
	json_object_set_new(o, "at_ms", json_integer(clock_wall_ms()));
	if (change->value)
		json_object_set(o, "value", change->value);
	else
		json_object_set_new(o, "value", json_null());
	return o;
}

static int change_row_apply(struct control *c, const struct table_row *row, struct error *err)
{
	struct config_change change = {
		.version = json_get_i64(row->value, "version", 0),
		.key = json_get_cstr(row->value, "key", ""),
		.author = json_get_cstr(row->value, "author", ""),
		.value = json_object_get(row->value, "value"),
	};

	if (control_config_apply(c, &change, err) == 0)
		return 0;
	/* A peer may have pushed the change in the meantime. */
	if (err->layer == ERROR_STATE && err->code == CONFIG_VERSION_STALE)
		return 0;
	log_error("config-row-refused", "key=%s error=\"%s\"", row->key, err->text);
	return -1;
}

int control_log_read(struct control *c, struct error *err)
{
	struct table_row *rows;
	bool more = true;
	char after[64];
	int count;
	int rc = 0;

	while (more && !rc) {
		control_change_key(after, sizeof(after), control_config_version(c));
		rc = platform_scan(c->gate->platform, CHANGE_PREFIX, after, SCAN_LIMIT, &rows,
				   &count, &more, err);
		for (int i = 0; i < count; i++) {
			if (!rc)
				rc = change_row_apply(c, &rows[i], err);
			table_row_clear(&rows[i]);
		}
		free(rows);
	}
	return rc;
}

int control_log_load_snapshot(struct control *c, struct error *err)
{
	struct buf data = { 0 };
	struct config *next;
	json_t *o;

	if (control_config_version(c) > 0)
		return 0;
	if (platform_object_get(c->gate->platform, SNAPSHOT_KEY, &data, err))
		return err->code == PLATFORM_NOT_FOUND ? 0 : -1;
	o = json_parse(buf_str(&data));
	buf_free(&data);
	next = o ? config_from_json(o, err) : NULL;
	json_decref(o);
	/* The log holds every change, so an unreadable snapshot only makes the start slower. */
	if (!next) {
		log_warn("config-snapshot-refused", "error=\"%s\"", err->text);
		return 0;
	}
	pthread_mutex_lock(&c->config_lock);
	control_config_publish(c, next);
	pthread_mutex_unlock(&c->config_lock);
	return 0;
}

static void snapshot_write(struct control *c)
{
	struct buf data = { 0 };
	struct error err = { 0 };
	json_t *o;

	rcu_read_lock();
	o = config_to_json(rcu_dereference(c->gate->config));
	json_append(&data, o);
	json_decref(o);
	rcu_read_unlock();
	if (platform_object_put(c->gate->platform, SNAPSHOT_KEY, buf_str(&data), &err))
		log_warn("config-snapshot-failed", "error=\"%s\"", err.text);
	buf_free(&data);
}

static int head_read(struct control *c, int64_t *version, int64_t *row_version, struct error *err)
{
	struct table_row row;

	*version = 0;
	*row_version = TABLE_MUST_NOT_EXIST;
	if (platform_get(c->gate->platform, HEAD_KEY, &row, err))
		return err->code == PLATFORM_NOT_FOUND ? 0 : -1;
	*version = json_get_i64(row.value, "version", 0);
	*row_version = row.version;
	table_row_clear(&row);
	return 0;
}

/*
 * Return: 1 when the row of the change holds @token, 0 when it holds another token, -1 when there
 * is no row or it could not be read.
 */
static int change_is_ours(struct control *c, int64_t version, const char *token, struct error *err)
{
	struct table_row row;
	char key[64];
	int ours;

	control_change_key(key, sizeof(key), version);
	if (platform_get(c->gate->platform, key, &row, err))
		return -1;
	ours = strcmp(json_get_cstr(row.value, "token", ""), token) == 0;
	table_row_clear(&row);
	return ours;
}

static int change_write(struct control *c, const struct config_change *change, const char *token,
			int64_t head_row, struct error *err)
{
	json_t *head = json_pack("{s:I}", "version", (json_int_t)change->version);
	json_t *row = control_change_json(change, token);
	struct table_op ops[2];
	char key[64];
	int rc;

	control_change_key(key, sizeof(key), change->version);
	ops[0] = (struct table_op){ TABLE_OP_PUT, HEAD_KEY, head, head_row };
	ops[1] = (struct table_op){ TABLE_OP_PUT, key, row, TABLE_MUST_NOT_EXIST };
	if (mechanism_is_disabled(MECHANISM_CONFIG_CAS))
		ops[0].if_version = ops[1].if_version = TABLE_ANY_VERSION;
	rc = platform_txn(c->gate->platform, ops, 2, NULL, err);
	json_decref(head);
	json_decref(row);
	return rc;
}

static int report_stale(struct control *c, int64_t *version, struct error *err)
{
	struct error ignored = { 0 };

	control_log_read(c, &ignored);
	*version = control_config_version(c);
	return error_set(
		err, ERROR_STATE, CONFIG_VERSION_STALE,
		"another change was committed first: the configuration is at version %" PRId64,
		*version);
}

/*
 * A transaction that the platform rejects for its rate is retried, unless that lasts too long.
 *
 * A transaction with unknown outcome is retried with the same token and the same expected version
 * of the head row. Only one of the two can take effect, and the token in the row shows whether it
 * was this change that did.
 */
static int change_commit(struct control *c, const struct config_change *change, int64_t head_row,
			 int64_t *version, struct error *err)
{
	int64_t start_ms = clock_boot_ms();
	bool doubtful = false;
	char token[24];
	int ours;

	control_token_create(token);
	while (change_write(c, change, token, head_row, err)) {
		if (err->code == PLATFORM_UNAVAILABLE && !doubtful) {
			/* A platform that is not down has rejected it for its rate of writes. */
			if (platform_down_since_ms(c->gate->platform) ||
			    clock_boot_ms() - start_ms >= RATE_WAIT_MS)
				return -1;
			clock_sleep_ms(RETRY_MS);
			continue;
		}
		if (err->code == PLATFORM_OUTCOME_UNKNOWN || err->code == PLATFORM_PROTOCOL)
			doubtful = true;
		ours = change_is_ours(c, change->version, token, err);
		if (ours == 1)
			return 0;
		if (ours == 0)
			return report_stale(c, version, err);
		if (clock_boot_ms() - start_ms >= COMMIT_LIMIT_MS)
			return error_set(err, ERROR_PLATFORM,
					 doubtful ? PLATFORM_OUTCOME_UNKNOWN : PLATFORM_UNAVAILABLE,
					 doubtful ? "the change may or may not have taken effect"
						  : "the change was not written");
		clock_sleep_ms(RETRY_MS);
	}
	return 0;
}

static int change_check(struct control *c, const struct config_change *change, struct error *err)
{
	struct config *candidate;

	rcu_read_lock();
	candidate = config_apply(rcu_dereference(c->gate->config), change, err);
	rcu_read_unlock();
	if (!candidate)
		return -1;
	config_destroy(candidate);
	return 0;
}

static void change_push(struct control *c, const struct config_change *change)
{
	struct peer_message *m = peer_message_create(PEER_CONFIG_CHANGE);
	struct peer_config_change *p = &m->u.change;

	p->version = change->version;
	str_copy(p->key, sizeof(p->key), str_from(change->key));
	str_copy(p->author, sizeof(p->author), str_from(change->author));
	if (change->value)
		p->value = json_dumps(change->value, JSON_COMPACT | JSON_ENCODE_ANY);
	control_broadcast(c, m);
	peer_message_destroy(m);
}

int control_config_change(struct control *c, const char *key, json_t *value, const char *author,
			  int64_t if_version, int64_t *version, struct error *err)
{
	struct config_change change = { .key = key, .author = author };
	struct error ignored = { 0 };
	int64_t head_row;
	int64_t head;

	change.value = value && !json_is_null(value) ? value : NULL;
	*version = control_config_version(c);
	if (!author[0] || strlen(author) >= PEER_CONFIG_AUTHOR_MAX)
		return error_set(err, ERROR_STATE, CONFIG_BAD_VALUE,
				 "expected an author of at most %d characters",
				 PEER_CONFIG_AUTHOR_MAX - 1);
	if (config_check(key, change.value, err) || head_read(c, &head, &head_row, err))
		return -1;
	if (head > control_config_version(c) && control_log_read(c, err))
		return -1;
	if (if_version >= 0 && if_version != head && !mechanism_is_disabled(MECHANISM_CONFIG_CAS))
		return report_stale(c, version, err);
	change.version = head + 1;
	if (change_check(c, &change, err)) {
		/* Another change was applied since the head was read. */
		if (err->code == CONFIG_VERSION_STALE)
			return report_stale(c, version, err);
		return -1;
	}
	if (change_commit(c, &change, head_row, version, err))
		return -1;
	*version = change.version;
	/* CONFIG_VERSION_STALE here means that a peer or the poll has already delivered the change.
	 */
	control_config_apply(c, &change, &ignored);
	change_push(c, &change);
	if (change.version % SNAPSHOT_EVERY == 0)
		snapshot_write(c);
	return 0;
}
