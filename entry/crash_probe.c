#include <stdlib.h>

#include "ibisgate/platform/wire.h"
#include "internal.h"

/* Connect and silence timeouts of the request that shows whether an endpoint has ended, in ms. */
#define PROBE_CONNECT_MS 300
#define PROBE_SILENCE_MS 1000

/** struct crash_probe - request that shows whether an endpoint has ended */
struct crash_probe {
	struct entry *entry;
	struct endpoint *endpoint;
};

static void on_probe_done(void *ctx, const struct http_result *r)
{
	struct crash_probe *p = ctx;
	struct endpoint *ep = p->endpoint;

	ep->crash_probed = false;
	endpoint_apply_result(p->entry, ep, r);
	if (!p->entry->stopping && !r->status && r->failure == HTTP_FAILURE_REFUSED)
		suspect_endpoint_crashed(p->entry, ep, true);
	while (!cds_list_empty(&ep->probe_waits)) {
		struct crash_probe_wait *w =
			cds_list_entry(ep->probe_waits.next, struct crash_probe_wait, link);

		crash_probe_wait_cancel(w);
		w->done(w->ctx);
	}
	endpoint_put(ep);
	free(p);
}

void crash_probe_start(struct entry *e, struct endpoint *ep)
{
	struct crash_probe *p;
	struct buf request = { 0 };

	if (ep->crash_probed || !ep->listed)
		return;
	p = mem_zalloc(sizeof(*p));
	p->entry = e;
	p->endpoint = ep;
	ep->refs++;
	ep->crash_probed = true;
	wire_report_request_encode(&request, ep->entry.address);
	http_collect_start(e->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = ep->address,
				   .request = buf_str(&request),
				   .needs_new_connection = true,
				   .connect_ms = PROBE_CONNECT_MS,
				   .read_timeout_ms = PROBE_SILENCE_MS,
				   .body_max_bytes = CONTROL_ANSWER_MAX_BYTES,
			   },
			   on_probe_done, p);
	buf_free(&request);
}

void crash_probe_wait(struct endpoint *ep, struct crash_probe_wait *w)
{
	cds_list_add_tail(&w->link, &ep->probe_waits);
	w->is_waiting = true;
}

void crash_probe_wait_cancel(struct crash_probe_wait *w)
{
	if (!w->is_waiting)
		return;
	cds_list_del(&w->link);
	w->is_waiting = false;
}
