#ifndef IBISGATE_NET_CODEC_H
#define IBISGATE_NET_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/net/codec_load.h"
#include "ibisgate/net/codec_report.h"
#include "ibisgate/net/codec_sharing.h"
#include "ibisgate/state/drain.h"
#include "ibisgate/state/liveness.h"
#include "ibisgate/state/member.h"
#include "ibisgate/state/reserve.h"

#define PEER_MESSAGE_MAX (1 << 20)
#define PEER_DIRECT_TAGS_MAX 128
#define PEER_MEMBERS_MAX 16
#define PEER_LEAVING_MAX 64
#define PEER_DEMANDS_MAX 96
#define PEER_CONFIG_CHANGES_MAX 128
#define PEER_ENDPOINTS_MAX 512
#define PEER_KEY_MAX 256
#define PEER_CONFIG_AUTHOR_MAX 64

enum peer_message_kind {
	PEER_HEARTBEAT = 1,
	PEER_CONFIG_CHANGE,
	PEER_CONFIG_FETCH,
	PEER_CONFIG_BATCH,
	PEER_LEAVE,
	PEER_LEAVE_ACK,
	PEER_RETURN,
	PEER_QUARANTINE,
	PEER_CLAIM_QUERY,
	PEER_CLAIM_STATE,
	PEER_FLEET_FETCH,
	PEER_FLEET_BATCH,
	PEER_RESERVE = 13,
	PEER_RESERVE_ACK = 14,
	PEER_RESERVE_RELEASE = 15,
	PEER_LOAD_REPORT = 16,
	PEER_LOAD_SUMMARY = 17,
	PEER_SHARING = 18,
	PEER_CONFIG_PART = 24,
	PEER_REPORT = 25,
};

/** enum codec_error - error codes of layer ERROR_CODEC */
enum codec_error {
	CODEC_OK,
	CODEC_MALFORMED,
	CODEC_UNKNOWN_TYPE,
	CODEC_TOO_LARGE,
};

/**
 * struct peer_member - full entry of the membership table
 * @age_ms: time since the last heartbeat of the member
 */
struct peer_member {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	char http[MEMBER_ADDR_MAX];
	char admin[MEMBER_ADDR_MAX];
	enum member_state state;
	uint32_t age_ms;
	int64_t config_version;
};

/**
 * struct peer_endpoint_order - order in force for an endpoint, which is sent no new work meanwhile
 * @order: order id
 * @role: role after the order; set for @kind ORDER_ROLE
 * @fencing: fencing token of the lease holder that issued the order
 */
struct peer_endpoint_order {
	char endpoint[MEMBER_ID_MAX];
	char order[DRAIN_ORDER_MAX];
	enum order_kind kind;
	enum endpoint_role role;
	int64_t fencing;
};

/**
 * struct peer_demand - demand for one model in engine time
 * @dc: "" if the values are running totals of the sender in microseconds; otherwise the data centre
 *      whose total rate they are, in microseconds per second
 */
struct peer_demand {
	char dc[MEMBER_DC_MAX];
	char model[48];
	int64_t prefill_us;
	int64_t decode_us;
};

/**
 * struct peer_heartbeat - state of the sending instance and its view of the other members
 * @direct_tags_digest: liveness_digest_tags() of all members whose heartbeats the sender receives
 * directly
 * @direct_tags: tags of these members; empty if they are unchanged
 * @liveness: members that the sender reports as alive
 */
struct peer_heartbeat {
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	char http[MEMBER_ADDR_MAX];
	char admin[MEMBER_ADDR_MAX];
	enum member_state state;
	int64_t config_version;
	uint32_t direct_tags_digest;
	int direct_tag_count;
	uint32_t direct_tags[PEER_DIRECT_TAGS_MAX];
	struct liveness_list liveness;
	int member_count;
	struct peer_member members[PEER_MEMBERS_MAX];
	int leaving_count;
	struct peer_endpoint_order leaving[PEER_LEAVING_MAX];
	int demand_count;
	struct peer_demand demands[PEER_DEMANDS_MAX];
};

/**
 * struct peer_config_change - configuration change
 * @value: JSON text, owned by the change; NULL deletes the key
 */
struct peer_config_change {
	int64_t version;
	char key[PEER_KEY_MAX];
	char author[PEER_CONFIG_AUTHOR_MAX];
	char *value;
};

/**
 * struct peer_config_part - part of a configuration snapshot, see struct snapshot_part
 * @text: content, owned by the part
 */
struct peer_config_part {
	int64_t version;
	uint64_t total;
	uint64_t offset;
	char *text;
};

/** struct peer_config_batch - configuration changes in the order in which they apply */
struct peer_config_batch {
	int change_count;
	struct peer_config_change changes[PEER_CONFIG_CHANGES_MAX];
};

/**
 * struct peer_endpoint - endpoint as listed by the platform
 * @role: current role
 */
struct peer_endpoint {
	char name[MEMBER_ID_MAX];
	char dc[MEMBER_DC_MAX];
	char url[128];
	char model[48];
	bool engine;
	bool checks_fencing;
	bool leaving;
	enum endpoint_role role;
};

/**
 * struct peer_endpoint_list - all endpoints that the sender has listed, with their orders
 * @stops: orders in force at the sender that keep new work from an endpoint
 */
struct peer_endpoint_list {
	int endpoint_count;
	struct peer_endpoint endpoints[PEER_ENDPOINTS_MAX];
	int stop_count;
	struct peer_endpoint_order stops[PEER_LEAVING_MAX];
};

/** enum claim_answer - state of a claim as reported by the instance that owns it */
enum claim_answer {
	CLAIM_ANSWER_RUNNING,
	CLAIM_ANSWER_NEVER_DISPATCHED,
	CLAIM_ANSWER_UNKNOWN,
};

/**
 * struct peer_reservation - reservation of an engine for a request suspected of crashing engines
 * @request_hlc: hybrid logical clock of the holder's first request; the same in all rounds
 * @expires_in_ms: time until the reservation expires unless it is renewed
 * @answer: set in an acknowledgement only
 * @in_flight: set in an acknowledgement only
 */
struct peer_reservation {
	char endpoint[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t request_hlc;
	uint32_t round;
	int64_t expires_in_ms;
	enum reserve_answer answer;
	int in_flight;
};

/**
 * struct peer_message - message between instances
 * @sender: id of the sending instance
 * @incarnation: incarnation of the sender
 * @hlc: hybrid logical clock of the sender
 * @u: body of @kind; peer_message_create() allocates @fleet, @loads, @sharing and @report, which
 * the message owns
 */
struct peer_message {
	enum peer_message_kind kind;
	char sender[MEMBER_ID_MAX];
	uint64_t incarnation;
	uint64_t hlc;
	union {
		struct peer_heartbeat heartbeat;
		struct peer_config_change change;
		int64_t fetch_after;
		struct peer_config_batch batch;
		struct peer_config_part part;
		struct peer_endpoint_order order;
		struct peer_endpoint_list *fleet;
		struct peer_loads *loads;
		struct peer_sharing *sharing;
		struct peer_report *report;
		struct {
			char endpoint[MEMBER_ID_MAX];
			char order[DRAIN_ORDER_MAX];
			int in_flight;
		} ack;
		struct {
			uint64_t fingerprint;
			int crashes;
			int unconfirmed;
			bool refuse;
			int64_t left_ms;
		} quarantine;
		struct {
			char key[PEER_KEY_MAX];
			char token[24];
			enum claim_answer answer;
		} claim;
		struct peer_reservation reserve;
	} u;
};

/** peer_message_create - create a zeroed message; free it with peer_message_destroy() */
struct peer_message *peer_message_create(enum peer_message_kind kind);
void peer_message_destroy(struct peer_message *m);

/**
 * peer_message_encode - append the CBOR encoding of @m to @out
 *
 * Return: 0, or -1 with CODEC_TOO_LARGE above PEER_MESSAGE_MAX bytes; @out is unchanged then.
 */
int peer_message_encode(const struct peer_message *m, struct buf *out, struct error *err);

/**
 * peer_message_decode - decode untrusted input
 *
 * A declared length never causes an allocation. Every text, count and number is checked against its
 * bound, and trailing bytes are rejected.
 *
 * Return: a message that the caller owns; NULL with CODEC_MALFORMED, CODEC_UNKNOWN_TYPE or
 *	   CODEC_TOO_LARGE.
 */
struct peer_message *peer_message_decode(struct str data, struct error *err);

#endif
