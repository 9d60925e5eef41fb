#include <jansson.h>
#include <stdlib.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

/*
 * A peer whose configuration is far behind receives the whole configuration, in parts that fit a
 * message.
 */

#define PART_BYTES (PEER_MESSAGE_MAX / 2)

/* Encodes the configuration as ASCII, so that the text can be split at any byte. */
static char *own_config_text(struct control *c, int64_t *version)
{
	json_t *o;
	char *text;

	rcu_read_lock();
	o = config_to_json(rcu_dereference(c->gate->config));
	rcu_read_unlock();
	*version = json_get_i64(o, "version", 0);
	text = json_dumps(o, JSON_COMPACT | JSON_ENSURE_ASCII);
	json_decref(o);
	return text;
}

void control_snapshot_send(struct control *c, const char *to)
{
	int64_t version;
	char *text = own_config_text(c, &version);
	struct str rest = str_from(text);
	struct peer_message *m;

	while (rest.len) {
		struct str piece = { rest.data, rest.len < PART_BYTES ? rest.len : PART_BYTES };

		m = peer_message_create(PEER_CONFIG_PART);
		m->u.part.version = version;
		m->u.part.total = str_from(text).len;
		m->u.part.offset = (uint64_t)(rest.data - text);
		m->u.part.text = str_dup(piece);
		control_send(c, to, m);
		peer_message_destroy(m);
		rest.data += piece.len;
		rest.len -= piece.len;
	}
	free(text);
}

static void snapshot_apply(struct control *c, struct str text)
{
	struct error err = { 0 };
	json_t *o = json_parse(text);
	struct config *next = o ? config_from_json(o, &err) : NULL;

	json_decref(o);
	if (!next)
		return;
	pthread_mutex_lock(&c->config_lock);
	control_config_publish(c, next);
	pthread_mutex_unlock(&c->config_lock);
}

void control_snapshot_receive(struct control *c, const struct peer_message *m)
{
	struct snapshot_part part = {
		.version = m->u.part.version,
		.total = m->u.part.total,
		.offset = m->u.part.offset,
		.text = str_from(m->u.part.text),
	};

	if (!snapshot_part_add(&c->snapshot, m->sender, &part, clock_boot_ms()))
		return;
	snapshot_apply(c, buf_str(&c->snapshot.text));
	snapshot_reset(&c->snapshot);
}
