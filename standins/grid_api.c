#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/grid.h"

#define BODY_MAX_BYTES (1 << 20)

static int64_t header_i64(struct mg_connection *conn, const char *name)
{
	const char *text = mg_get_header(conn, name);

	return text ? strtoll(text, NULL, 10) : 0;
}

/* Records a call that has reached the platform. */
static void call_record(struct grid *g, struct mg_connection *conn, const char *path, json_t *body,
			bool accepted)
{
	const char *holder = mg_get_header(conn, "X-Ibisgate-Lease-Holder");

	if (!g->api_calls)
		g->api_calls = json_array();
	json_array_append_new(g->api_calls,
			      json_pack("{s:s,s:s,s:I,s:I,s:b,s:O}", "path", path, "holder",
					holder ? holder : "", "fencing",
					(json_int_t)header_i64(conn, "X-Ibisgate-Fencing-Token"),
					"at_ms", (json_int_t)(mono_now_us() / 1000), "accepted",
					accepted, "body", body));
}

int grid_api_handle(struct mg_connection *conn, void *ctx)
{
	struct grid *g = ctx;
	enum grid_api_mode mode;
	json_t *body;

	if (!http_request_matches(conn, "POST", "/usage"))
		return http_reply(conn, 404, json_object());
	body = http_body_json(conn, BODY_MAX_BYTES);
	if (!body)
		return http_reply(conn, 400, json_object());
	pthread_mutex_lock(&g->lock);
	mode = g->api_mode;
	call_record(g, conn, "/usage", body, mode == GRID_API_UP || mode == GRID_API_LOSE_ANSWER);
	pthread_mutex_unlock(&g->lock);
	json_decref(body);
	switch (mode) {
	case GRID_API_BUSY:
		return http_reply(conn, 503, json_object());
	case GRID_API_LIMITED:
		return http_reply(conn, 429, json_object());
	case GRID_API_LOSE_ANSWER:
		return http_abort(conn);
	case GRID_API_UP:
		break;
	}
	return http_reply(conn, 200, json_object());
}
