#include <inttypes.h>
#include <stdlib.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* Requests whose state one observation can change at once. */
#define CHANGED_MAX 256

/* Entries that an instance which has just started receives from each of its peers. */
#define SENT_MAX 256

enum quarantine_verdict control_quarantine_check(struct control *c, uint64_t fingerprint)
{
	enum quarantine_verdict v;

	pthread_mutex_lock(&c->lock);
	v = quarantine_check(c->quarantine, fingerprint, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return mechanism_is_disabled(MECHANISM_QUARANTINE) ? QUARANTINE_CLEAR : v;
}

static struct peer_message *quarantine_message(const struct quarantine_summary *note)
{
	struct peer_message *m = peer_message_create(PEER_QUARANTINE);

	m->u.quarantine.fingerprint = note->fingerprint;
	m->u.quarantine.crashes = note->crashes;
	m->u.quarantine.unconfirmed = note->unconfirmed;
	m->u.quarantine.refuse = note->refuse;
	m->u.quarantine.left_ms = note->left_ms;
	return m;
}

void control_quarantine_send_all(struct control *c, const char *id)
{
	struct quarantine_summary *notes = mem_alloc(SENT_MAX * sizeof(*notes));
	int n;

	pthread_mutex_lock(&c->lock);
	n = quarantine_summaries(c->quarantine, clock_boot_ms(), notes, SENT_MAX);
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++) {
		struct peer_message *m = quarantine_message(&notes[i]);

		control_send(c, id, m);
		peer_message_destroy(m);
	}
	free(notes);
}

static void quarantine_publish(struct control *c, uint64_t fingerprint)
{
	struct quarantine_summary note;
	struct peer_message *m;

	pthread_mutex_lock(&c->lock);
	note = quarantine_summary(c->quarantine, fingerprint, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	if (note.refuse) {
		metric_add(METRIC_QUARANTINED, 1);
		log_warn("quarantined", "fingerprint=%016" PRIx64, fingerprint);
		event_record("quarantined", NULL, NULL, NULL, "fingerprint=%016" PRIx64,
			     fingerprint);
	}
	/* Suspects are broadcast as well, because the caller may retry at another instance. */
	m = quarantine_message(&note);
	control_broadcast(c, m);
	peer_message_destroy(m);
}

enum quarantine_verdict control_quarantine_add_crash(struct control *c, uint64_t fingerprint,
						     bool ran_alone)
{
	enum quarantine_verdict v;

	if (mechanism_is_disabled(MECHANISM_QUARANTINE))
		return QUARANTINE_CLEAR;
	pthread_mutex_lock(&c->lock);
	v = quarantine_add_crash(c->quarantine, fingerprint, ran_alone, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	quarantine_publish(c, fingerprint);
	return v;
}

static uint64_t hash_nonempty(const char *text)
{
	return text[0] ? hash_str(str_from(text), 0) | 1 : 0;
}

enum quarantine_verdict control_quarantine_add_suspicion(struct control *c, uint64_t fingerprint,
							 const char *endpoint, const char *boot_id,
							 bool ran_alone)
{
	struct quarantine_place place = {
		.endpoint = hash_nonempty(endpoint),
		.boot = hash_nonempty(boot_id),
		.ran_alone = ran_alone,
	};
	enum quarantine_verdict v;

	pthread_mutex_lock(&c->lock);
	v = quarantine_add_suspicion(c->quarantine, fingerprint, &place, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	quarantine_publish(c, fingerprint);
	return v;
}

void control_quarantine_handle_boot_id(struct control *c, const char *endpoint, const char *boot_id,
				       int64_t asked_ms)
{
	uint64_t changed[CHANGED_MAX];
	int n = 0;

	pthread_mutex_lock(&c->lock);
	if (quarantine_count_suspicions(c->quarantine))
		n = quarantine_handle_boot_id(c->quarantine, hash_nonempty(endpoint),
					      hash_nonempty(boot_id), asked_ms, clock_boot_ms(),
					      changed, CHANGED_MAX);
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		quarantine_publish(c, changed[i]);
}

bool control_quarantine_has_suspicion(struct control *c, const char *endpoint)
{
	bool awaits;

	pthread_mutex_lock(&c->lock);
	awaits = quarantine_has_suspicion(c->quarantine, hash_nonempty(endpoint));
	pthread_mutex_unlock(&c->lock);
	return awaits;
}

void control_quarantine_on_list(struct control *c, const struct endpoint_info *infos, int count,
				int64_t asked_ms)
{
	uint64_t *listed = mem_zalloc((size_t)(count + 1) * sizeof(*listed));
	uint64_t changed[CHANGED_MAX];
	int n = 0;

	for (int i = 0; i < count; i++)
		listed[i] = hash_nonempty(infos[i].name);
	pthread_mutex_lock(&c->lock);
	if (quarantine_count_suspicions(c->quarantine))
		n = quarantine_handle_list(c->quarantine, listed, count, asked_ms, clock_boot_ms(),
					   changed, CHANGED_MAX);
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		quarantine_publish(c, changed[i]);
	free(listed);
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
	int64_t remaining_ms = m->u.quarantine.left_ms;
	struct quarantine_summary note = {
		.fingerprint = m->u.quarantine.fingerprint,
		.crashes = m->u.quarantine.crashes,
		.unconfirmed = m->u.quarantine.unconfirmed,
		.refuse = m->u.quarantine.refuse,
	};

	if (remaining_ms > QUARANTINE_MS)
		remaining_ms = QUARANTINE_MS;
	pthread_mutex_lock(&c->lock);
	quarantine_merge(c->quarantine, &note, now + remaining_ms, now);
	pthread_mutex_unlock(&c->lock);
}
