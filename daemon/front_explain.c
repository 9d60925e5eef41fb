#include <string.h>
#include <urcu-bp.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/net/codec_explain.h"

/* Explains what front.c would do with a request; nothing here is sent, counted or recorded. */

static void refuse(struct explain_refusal *r, int status, const char *decision, const char *cause)
{
	*r = (struct explain_refusal){
		.status = status, .decision = decision, .cause = cause, .wait_ms = -1
	};
}

/* Classes stand for priorities here, highest first. */
static int class_set(const struct explain_request *r, struct call *call, struct error *err)
{
	call->class = CLASS_NORMAL;
	call->has_class = r->priority >= 0;
	if (r->priority >= CLASS_COUNT)
		return error_set(
			err, ERROR_FRONT, 1,
			"priority: expected 0 (urgent), 1 (normal) or 2 (background) here");
	if (call->has_class)
		call->class = (enum share_class)r->priority;
	return 0;
}

static int organisation_by_name(const struct gate *gate, const char *name, struct call *call,
				struct error *err)
{
	struct config_organisation org;
	const struct config *c;
	bool found;

	rcu_read_lock();
	c = rcu_dereference(gate->config);
	found = c && config_organisation(c, name, &org);
	if (found) {
		call->weight = org.weight;
		str_copy(call->organisation, sizeof(call->organisation), str_from(org.name));
	}
	rcu_read_unlock();
	return found ? 0
		     : error_set(err, ERROR_FRONT, 1,
				 "organisation: not found in the configuration in force");
}

static int call_describe(const struct front *f, const struct explain_request *r, struct call *call,
			 struct error *err)
{
	if (r->part_count)
		return error_set(err, ERROR_FRONT, 1,
				 "parts: expected prompt or prompt_tokens instead");
	*call = (struct call){ .arrived_ms = clock_boot_ms(),
			       .requested_timeout_ms = r->deadline_ms };
	str_copy(call->id, sizeof(call->id), str_from(r->id));
	if (class_set(r, call, err) < 0)
		return -1;
	return r->organisation[0] ? organisation_by_name(f->gate, r->organisation, call, err) : 0;
}

/* Whether the request gets past what front.c checks before its body. */
static bool check_head(const struct front *f, const struct explain_request *r, const struct path *p,
		       struct call *call, struct explain_refusal *out)
{
	char hash[HASH_HEX_SIZE] = "";

	if (!p) {
		refuse(out, 404, "route", "unknown_path");
		return false;
	}
	if (!path_allows(p, r->method)) {
		refuse(out, 405, "route", "wrong_method");
		return false;
	}
	if (p->is_public)
		return true;
	if (!gate_is_serving(f->gate)) {
		refuse(out, 503, "stop", "not_ready");
		return false;
	}
	if (call->organisation[0])
		return true;
	if (r->key[0])
		hash_secret_hex(str_from(r->key), hash);
	switch (organisation_read(f->gate, hash, call)) {
	case AUTH_OK:
		return true;
	case AUTH_REJECTED:
		refuse(out, 401, "key", "invalid_api_key");
		return false;
	case AUTH_NO_CONFIG:
		refuse(out, 503, "configuration", "starting");
		return false;
	}
	return false;
}

static void add_memory(struct front *f, int64_t body_bytes, json_t *out,
		       struct explain_refusal *refusal)
{
	int64_t most = f->gate->settings.http.body_max_bytes;
	int64_t bytes = memory_ledger_body_bytes(0, body_bytes);
	struct memory_ledger now;
	bool has_room;

	pthread_mutex_lock(&f->ledger_lock);
	now = f->ledger;
	pthread_mutex_unlock(&f->ledger_lock);
	has_room = memory_ledger_has_room(&now, 0, bytes, most);
	json_object_set_new(out, "memory",
			    json_pack("{s:I,s:I,s:I,s:b}", "held_bytes", (json_int_t)now.total,
				      "limit_bytes", (json_int_t)now.limit, "body_takes_bytes",
				      (json_int_t)bytes, "has_room", has_room));
	if (refusal->status)
		return;
	if (body_bytes > most)
		refuse(refusal, 413, "body-size", "body_too_large");
	else if (!has_room)
		refuse(refusal, 503, "memory", "no_memory");
}

static void explain_work(struct front *f, const struct explain_request *r, const struct path *p,
			 const struct call *call, json_t *out, struct explain_refusal *refusal)
{
	struct service_call s = { .call = *call };
	struct generation g = { .call = *call,
				.chat = p->kind == PATH_CHAT,
				.max_tokens = r->output_tokens,
				.prompt = buf_str(&r->prompt) };

	switch (p->kind) {
	case PATH_COMPLETIONS:
	case PATH_CHAT:
		str_copy(g.model, sizeof(g.model), str_from(r->model));
		dispatch_explain_generate(f->gate->dispatch, &g, r->prompt_tokens, out, refusal);
		break;
	case PATH_SERVICE:
		str_copy(s.service, sizeof(s.service), str_from(r->path + strlen(p->path)));
		dispatch_explain_service(f->gate->dispatch, &s, out, refusal);
		break;
	default:
		break;
	}
}

static void add_verdict(json_t *out, const struct explain_refusal *r)
{
	json_t *v = json_pack("{s:b}", "admitted", !r->status);

	if (r->status) {
		json_object_set_new(v, "status", json_integer(r->status));
		json_object_set_new(v, "decision", json_string(r->decision));
		json_object_set_new(v, "cause", json_string(r->cause));
		if (r->wait_ms >= 0)
			json_object_set_new(v, "retry_after_ms", json_integer(r->wait_ms));
	}
	json_object_set_new(out, "verdict", v);
}

static void add_sources(const struct gate *gate, json_t *out)
{
	const struct config *c;

	json_object_set_new(out, "instance", json_string(gate->settings.instance.id));
	json_object_set_new(out, "dc", json_string(gate->settings.instance.dc));
	rcu_read_lock();
	c = rcu_dereference(gate->config);
	json_object_set_new(out, "config_version", json_integer(c ? config_version(c) : 0));
	rcu_read_unlock();
}

int front_explain(struct front *f, struct str body, json_t **out)
{
	struct explain_refusal refusal = { 0 };
	struct explain_request r = { .prompt = { 0 } };
	struct error err = { 0 };
	const struct path *p;
	struct call call = { .organisation = "" };
	int status = 400;

	*out = json_object();
	if (explain_request_decode(body, &r, &err) < 0 || call_describe(f, &r, &call, &err) < 0) {
		json_object_set_new(*out, "error", json_pack("{s:s}", "message", err.text));
		goto out;
	}
	p = path_find(r.path);
	add_sources(f->gate, *out);
	if (check_head(f, &r, p, &call, &refusal)) {
		if (call.organisation[0])
			json_object_set_new(*out, "organisation", json_string(call.organisation));
		explain_work(f, &r, p, &call, *out, &refusal);
	}
	add_memory(f, r.body_bytes, *out, &refusal);
	add_verdict(*out, &refusal);
	status = 200;
out:
	explain_request_clear(&r);
	return status;
}
