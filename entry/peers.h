#ifndef IBISGATE_ENTRY_PEERS_H
#define IBISGATE_ENTRY_PEERS_H

#include <pthread.h>

#include "ibisgate/net/peer.h"
#include "ibisgate/state/mesh.h"
#include "ibisgate/state/part_sources.h"
#include "internal.h"

/*
 * peers.c contains the bus, its thread, the timer and the functions for other files.
 * peers_receive.c applies messages of other instances; peers_share.c sends them. Everything but the
 * bus thread runs on the event loop.
 */

/* Maximum interval between two messages, in milliseconds; they also serve as the heartbeat. */
#define SHARE_HEARTBEAT_MS 500

/* Maximum size of a text in bytes; one message of the bus holds 1 MiB. */
#define PEER_TEXT_MAX_BYTES 900000

/**
 * struct inbox_entry - message queued for the event loop
 * @kind: PEER_CONFIG_PART with @text, PEER_SHARING with @sharing or PEER_REPORT with @report
 */
struct inbox_entry {
	struct inbox_entry *next;
	char sender[MEMBER_ID_MAX];
	uint64_t incarnation;
	enum peer_message_kind kind;
	union {
		struct buf text;
		struct peer_sharing *sharing;
		struct peer_report *report;
	} u;
};

/** struct report_reader - who reads the reports on a topic */
struct report_reader {
	report_apply_fn apply;
	void *ctx;
};

/**
 * struct peer_view - last reported state of one instance
 * @loads: its last reported loads; for a delegate of another data centre, the loads of all
 *   instances there
 * @summed: @loads are included in the sums of the endpoints
 * @is_remote: the instance is in another data centre
 * @unconfigured_since_ms: since when it has had no configuration; 0 when it has one
 * @behind_seen_ms: since when it is heard from and has an older configuration; 0 when it has not
 * @config_sent_ms: when it was last sent a newer configuration; 0 if never
 */
struct peer_view {
	char id[MEMBER_ID_MAX];
	int64_t last_receive_ms;
	int64_t unconfigured_since_ms;
	int64_t behind_seen_ms;
	int64_t config_sent_ms;
	bool summed;
	bool is_remote;
	int count;
	struct shared_engine_load *loads;
};

/**
 * struct suspect_part_list - reports queued for one side, each once; further ones are dropped
 * @urgent: some of them make others refuse a part, and don't wait for the next heartbeat
 * @lost_ms: by item, when the connection broke, 0 if that is not known
 */
struct suspect_part_list {
	int count;
	bool urgent;
	struct shared_suspect_part items[SHARING_SUSPECT_PARTS_MAX];
	int64_t lost_ms[SHARING_SUSPECT_PARTS_MAX];
};

/**
 * struct peers - message exchange with the other instances
 * @lock: guards @inbox_head, @inbox_tail and @inbox_count, which the bus thread writes
 * @wake_fd: event descriptor that signals new messages to the event loop
 * @share_pending: there is something to send before the next heartbeat
 * @parts: prompt parts sent to engines since the last message
 * @remote_parts: shared parts of this data centre's engines to report to the other data centres
 * @part_reports: as a delegate, parts reported to the other data centres
 * @remote_sources: engines of other data centres that have prefilled shared parts
 * @dc_parts_ms: when a part of an engine of each data centre was last reported
 * @loads_summed_ms: when the loads of all instances were last summed
 * @remote_sent_ms: when a message was last sent to the other data centres
 * @suspect_parts: what is known of suspected parts, to include in the next message
 * @remote_suspect_parts: the same for the next message to the other data centres
 * @config_free_ms: when the next configuration may be sent
 * @readers: by topic
 * @max_instances: largest number of instances seen alive at the same time, including this one
 */
struct peers {
	struct entry *entry;
	struct peer_bus *bus;
	struct supervisor *supervisor;
	struct mesh *mesh;
	uint64_t incarnation;
	pthread_mutex_t lock;
	struct inbox_entry *inbox_head;
	struct inbox_entry **inbox_tail;
	int inbox_count;
	int64_t inbox_bytes;
	int64_t inbox_max_bytes;
	int wake_fd;
	struct event *wake_event;
	struct event *timer;
	int64_t sent_ms;
	bool share_pending;
	int part_count;
	struct shared_prompt_part parts[SHARING_PROMPT_PARTS_MAX];
	int remote_part_count;
	struct shared_prompt_part remote_parts[SHARING_PROMPT_PARTS_MAX];
	struct part_sources part_reports;
	struct part_sources remote_sources;
	int64_t dc_parts_ms[ENTRY_DCS_MAX + 1];
	int64_t loads_summed_ms;
	int64_t remote_sent_ms;
	struct suspect_part_list suspect_parts;
	struct suspect_part_list remote_suspect_parts;
	struct peer_view *views;
	int view_count;
	int64_t config_free_ms;
	struct report_reader readers[REPORT_TOPICS];
	int max_instances;
};

/* peers_apply.c */

/**
 * peers_sum_loads - sum for each endpoint the loads reported by instances that have sent messages
 * recently
 */
void peers_sum_loads(struct peers *p, int64_t now_ms);

/** peers_apply - apply one message of another instance */
void peers_apply(struct peers *p, const struct inbox_entry *in, int64_t now_ms);

/* peers_share.c */

/**
 * peers_relay_part - as a delegate, report a part of an engine of this data centre to the others
 *
 * One copy in each data centre is enough to copy from, so a part is reported once in a while,
 * whichever engine has it.
 */
void peers_relay_part(struct peers *p, const struct shared_prompt_part *part, int64_t now_ms);

/**
 * peers_suspect_part_add - add a report to those for one side, unless it is there
 * @lost_ms: when the connection broke, 0 if that is not known
 */
void peers_suspect_part_add(struct suspect_part_list *list, const struct shared_suspect_part *r,
			    int64_t lost_ms);

/** peers_share - send loads, prompt parts, suspects and membership to the other instances */
void peers_share(struct peers *p, int64_t now_ms);

#endif
