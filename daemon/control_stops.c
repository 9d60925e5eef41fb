#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"

#define SCAN_LIMIT 200

static struct stop *stop_find(struct control *c, const char *endpoint, const char *order)
{
	for (int i = 0; i < c->stop_count; i++) {
		if (strcmp(c->stops[i].order.endpoint, endpoint) == 0 &&
		    strcmp(c->stops[i].order.order, order) == 0)
			return &c->stops[i];
	}
	return NULL;
}

void control_stop_apply(struct control *c, const struct peer_endpoint_order *order,
			const char *holder)
{
	struct stop *s;
	bool is_new;

	if (!order->endpoint[0] || !order->order[0])
		return;
	/* The fleet stops using the endpoint before a confirmation can be sent. */
	fleet_endpoint_stop(c->fleet, order->endpoint, order->order);
	pthread_mutex_lock(&c->lock);
	s = stop_find(c, order->endpoint, order->order);
	is_new = !s;
	if (!s && c->stop_count < CONTROL_STOPS_MAX) {
		s = &c->stops[c->stop_count++];
		*s = (struct stop){ .order = *order, .at_ms = clock_boot_ms() };
	}
	if (s && holder[0])
		str_copy(s->holder, sizeof(s->holder), str_from(holder));
	if (s && order->fencing > s->order.fencing)
		s->order.fencing = order->fencing;
	pthread_mutex_unlock(&c->lock);
	if (is_new)
		event_record("endpoint-leave", NULL, order->endpoint, NULL, "order=%s holder=%s",
			     order->order, holder);
}

void control_stop_end(struct control *c, const struct peer_endpoint_order *order)
{
	struct stop *s;
	bool found;

	pthread_mutex_lock(&c->lock);
	s = stop_find(c, order->endpoint, order->order);
	found = s != NULL;
	if (s)
		*s = c->stops[--c->stop_count];
	pthread_mutex_unlock(&c->lock);
	if (fleet_endpoint_resume(c->fleet, order->endpoint, order->order, order->role) || found)
		event_record("endpoint-return", NULL, order->endpoint, NULL, "order=%s role=%d",
			     order->order, order->role);
}

static void leave_ack_send(struct control *c, const struct stop *s, int in_flight)
{
	struct peer_message *m = peer_message_create(PEER_LEAVE_ACK);

	str_copy(m->u.ack.endpoint, sizeof(m->u.ack.endpoint), str_from(s->order.endpoint));
	str_copy(m->u.ack.order, sizeof(m->u.ack.order), str_from(s->order.order));
	m->u.ack.in_flight = in_flight;
	control_send(c, s->holder, m);
	peer_message_destroy(m);
}

/* Called for each leave message, so that a lost confirmation is sent again with the next one. */
static void stop_confirm(struct control *c, const struct peer_endpoint_order *order)
{
	int in_flight = fleet_endpoint_in_flight(c->fleet, order->endpoint);
	struct stop copy;
	struct stop *s;

	pthread_mutex_lock(&c->lock);
	s = stop_find(c, order->endpoint, order->order);
	if (s) {
		s->confirmed = in_flight == 0;
		copy = *s;
	}
	pthread_mutex_unlock(&c->lock);
	/* A stop that could not be stored must not be confirmed. */
	if (s)
		leave_ack_send(c, &copy, in_flight);
}

void control_on_endpoint_leave(struct control *c, const struct peer_message *m)
{
	control_stop_apply(c, &m->u.order, m->sender);
	stop_confirm(c, &m->u.order);
}

void control_on_endpoint_return(struct control *c, const struct peer_message *m)
{
	control_stop_end(c, &m->u.order);
}

void control_stops_confirm(struct control *c)
{
	struct peer_endpoint_order due[CONTROL_STOPS_MAX];
	int n = 0;

	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->stop_count; i++) {
		if (!c->stops[i].confirmed && c->stops[i].holder[0])
			due[n++] = c->stops[i].order;
	}
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++) {
		if (fleet_endpoint_in_flight(c->fleet, due[i].endpoint) == 0)
			stop_confirm(c, &due[i]);
	}
}

static const char *const kind_names[] = { "role", "model", "withdraw" };
static const char *const role_names[] = { "service", "mixed", "prefill", "decode" };

json_t *control_intent_json(const struct order *order, const char *dc, const char *holder,
			    enum endpoint_role role)
{
	json_t *o = json_object();

	json_object_set_new(o, "order", json_string(order->id));
	json_object_set_new(o, "endpoint", json_string(order->endpoint));
	json_object_set_new(o, "dc", json_string(dc));
	json_object_set_new(o, "kind", json_string(kind_names[order->kind]));
	json_object_set_new(o, "fencing", json_integer(order->fencing));
	json_object_set_new(o, "holder", json_string(holder));
	if (order->kind == ORDER_ROLE)
		role = order->u.role;
	else if (order->kind == ORDER_MODEL)
		json_object_set_new(o, "model", json_string(order->u.model));
	json_object_set_new(o, "role", json_string(role_names[role]));
	return o;
}

static int name_index(const char *const *names, int count, const char *name)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	return -1;
}

bool control_intent_parse(const struct table_row *row, struct peer_endpoint_order *out, char *dc,
			  size_t dc_size)
{
	int kind = name_index(kind_names, 3, json_get_cstr(row->value, "kind", ""));
	int role = name_index(role_names, 4, json_get_cstr(row->value, "role", "mixed"));

	*out = (struct peer_endpoint_order){ .fencing = json_get_i64(row->value, "fencing", 0) };
	if (kind < 0 || role < 0)
		return false;
	out->kind = (enum order_kind)kind;
	out->role = (enum endpoint_role)role;
	return str_copy(out->endpoint, sizeof(out->endpoint),
			str_from(json_get_cstr(row->value, "endpoint", ""))) &&
	       str_copy(out->order, sizeof(out->order),
			str_from(json_get_cstr(row->value, "order", ""))) &&
	       str_copy(dc, dc_size, str_from(json_get_cstr(row->value, "dc", ""))) &&
	       out->endpoint[0] && out->order[0];
}

static bool rows_have_order(const struct table_row *rows, int count,
			    const struct peer_endpoint_order *order)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(json_get_cstr(rows[i].value, "order", ""), order->order) == 0)
			return true;
	}
	return false;
}

/*
 * Ends each stop that came into force before the scan began and whose intent row the scan did not
 * find: its return message was lost.
 */
static void stops_end_finished(struct control *c, const struct table_row *rows, int count,
			       int64_t asked_ms)
{
	struct peer_endpoint_order ended[CONTROL_STOPS_MAX];
	int n = 0;

	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->stop_count; i++) {
		if (c->stops[i].at_ms < asked_ms &&
		    !rows_have_order(rows, count, &c->stops[i].order))
			ended[n++] = c->stops[i].order;
	}
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		control_stop_end(c, &ended[i]);
}

static void rows_free(struct table_row *rows, int count)
{
	for (int i = 0; i < count; i++)
		table_row_clear(&rows[i]);
	free(rows);
}

int control_intents_read(struct control *c, struct table_row **rows, int *count)
{
	char after[sizeof((*rows)->key)] = "";
	struct error err = { 0 };
	bool more = true;

	*rows = NULL;
	*count = 0;
	while (more) {
		struct table_row *page;
		int n;
		int rc = platform_scan(c->gate->platform, "intent/", after, SCAN_LIMIT, &page, &n,
				       &more, &err);

		if (rc || (more && !n)) {
			rows_free(page, n);
			rows_free(*rows, *count);
			*rows = NULL;
			*count = 0;
			return -1;
		}
		if (n) {
			str_copy(after, sizeof(after), str_from(page[n - 1].key));
			*rows = mem_resize(*rows, (size_t)(*count + n) * sizeof(**rows));
			memcpy(*rows + *count, page, (size_t)n * sizeof(*page));
			*count += n;
		}
		free(page);
	}
	return 0;
}

void control_stops_reconcile(struct control *c)
{
	int64_t asked_ms = clock_boot_ms();
	struct table_row *rows;
	struct peer_endpoint_order order;
	char dc[MEMBER_DC_MAX];
	int count;

	if (control_intents_read(c, &rows, &count))
		return;
	for (int i = 0; i < count; i++) {
		if (control_intent_parse(&rows[i], &order, dc, sizeof(dc)))
			control_stop_apply(c, &order, "");
	}
	stops_end_finished(c, rows, count, asked_ms);
	atomic_store(&c->has_read_intents, true);
	atomic_store(&c->has_intents, true);
	rows_free(rows, count);
}
