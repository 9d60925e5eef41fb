#include <inttypes.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

enum quarantine_verdict control_quarantine_check(struct control *c, uint64_t fingerprint)
{
	enum quarantine_verdict v;

	pthread_mutex_lock(&c->lock);
	v = quarantine_check(c->quarantine, fingerprint, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return ablated(MECHANISM_QUARANTINE) ? QUARANTINE_CLEAR : v;
}

/* A suspect is told to all too: its caller may repeat it at another instance. */
static void tell(struct control *c, uint64_t fingerprint, bool refuse)
{
	struct peer_message *m = peer_message_create(PEER_QUARANTINE);

	m->u.quarantine.fingerprint = fingerprint;
	m->u.quarantine.crashes = refuse ? QUARANTINE_CRASHES : 1;
	m->u.quarantine.refuse = refuse;
	m->u.quarantine.left_ms = QUARANTINE_SUSPECT_MS;
	if (refuse)
		m->u.quarantine.left_ms = QUARANTINE_MS;
	control_send_all(c, m);
	peer_message_destroy(m);
}

enum quarantine_verdict control_quarantine_charge(struct control *c, uint64_t fingerprint,
						  bool alone)
{
	enum quarantine_verdict v;

	if (ablated(MECHANISM_QUARANTINE))
		return QUARANTINE_CLEAR;
	pthread_mutex_lock(&c->lock);
	v = quarantine_charge(c->quarantine, fingerprint, alone, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	if (v == QUARANTINE_REFUSE) {
		metric_add(METRIC_QUARANTINED, 1);
		log_warn("quarantined", "fingerprint=%016" PRIx64, fingerprint);
		event_record("quarantined", NULL, NULL, NULL, "fingerprint=%016" PRIx64,
			     fingerprint);
	}
	tell(c, fingerprint, v == QUARANTINE_REFUSE);
	return v;
}

void control_quarantine_clear(struct control *c, uint64_t fingerprint)
{
	pthread_mutex_lock(&c->lock);
	quarantine_clear(c->quarantine, fingerprint);
	pthread_mutex_unlock(&c->lock);
}

void control_on_quarantine(struct control *c, const struct peer_message *m)
{
	int64_t now = clock_boot_ms();
	int64_t left = m->u.quarantine.left_ms;

	if (left > QUARANTINE_MS)
		left = QUARANTINE_MS;
	pthread_mutex_lock(&c->lock);
	quarantine_learn(c->quarantine, m->u.quarantine.fingerprint, m->u.quarantine.crashes,
			 m->u.quarantine.refuse, now + left, now);
	pthread_mutex_unlock(&c->lock);
}
