#ifndef IBISGATE_NET_CODEC_H
#define IBISGATE_NET_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/net/codec_load.h"
#include "ibisgate/net/codec_sharing.h"
#include "ibisgate/state/drain.h"
#include "ibisgate/state/member.h"
#include "ibisgate/state/reserve.h"
#include "ibisgate/state/liveness.h"

#define PEER_MESSAGE_MAX (1 << 20)
#define PEER_HEARD_MAX 128
#define PEER_MEMBERS_MAX 16
#define PEER_LEAVING_MAX 64
#define PEER_DEMANDS_MAX 96
#define PEER_CHANGES_MAX 128
#define PEER_ENDPOINTS_MAX 512
#define PEER_KEY_MAX 256
#define PEER_AUTHOR_MAX 64

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
};

/** enum codec_error - codes of layer ERROR_CODEC */
enum codec_error {
	CODEC_OK,
	CODEC_MALFORMED,
	CODEC_UNKNOWN_TYPE,
	CODEC_TOO_LARGE,
};

/** struct peer_member - full entry of a member; @age_ms since it was heard */
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
 * struct peer_order - endpoint that gets no new work
 * @role: role after the order, for @kind ORDER_ROLE
 */
struct peer_order {
	char endpoint[MEMBER_ID_MAX];
	char order[DRAIN_ORDER_MAX];
	enum order_kind kind;
	enum endpoint_role role;
	int64_t fencing;
};

/**
 * struct peer_demand - work for one model
 * @dc: "" for running totals of the sender, in microseconds of engine time; otherwise the rate of
 *      that whole data centre in microseconds a second
 */
struct peer_demand {
	char dc[MEMBER_DC_MAX];
	char model[48];
	int64_t prefill_us;
	int64_t decode_us;
};

/**
 * struct peer_heartbeat - what an instance says of itself and of others
 * @heard: tags of the members that the sender hears directly; empty when unchanged
 * @heard_digest: liveness_digest_tags() of all of them
 */
struct peer_heartbeat {
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	char http[MEMBER_ADDR_MAX];
	char admin[MEMBER_ADDR_MAX];
	enum member_state state;
	int64_t config_version;
	uint32_t heard_digest;
	int heard_count;
	uint32_t heard[PEER_HEARD_MAX];
	struct liveness_list vouched;
	int member_count;
	struct peer_member members[PEER_MEMBERS_MAX];
	int leaving_count;
	struct peer_order leaving[PEER_LEAVING_MAX];
	int demand_count;
	struct peer_demand demands[PEER_DEMANDS_MAX];
};

/** struct peer_change - configuration change; @value is JSON text, owned, NULL deletes */
struct peer_change {
	int64_t version;
	char key[PEER_KEY_MAX];
	char author[PEER_AUTHOR_MAX];
	char *value;
};

/** struct peer_part - part of a snapshot, see struct snapshot_part; @text owned */
struct peer_part {
	int64_t version;
	uint64_t total;
	uint64_t offset;
	char *text;
};

/** struct peer_batch - changes in order */
struct peer_batch {
	int change_count;
	struct peer_change changes[PEER_CHANGES_MAX];
};

/** struct peer_endpoint - endpoint as the platform's list names it; @role is the role by now */
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

/** struct peer_fleet - all endpoints that the sender has listed, and all stops in force there */
struct peer_fleet {
	int endpoint_count;
	struct peer_endpoint endpoints[PEER_ENDPOINTS_MAX];
	int stop_count;
	struct peer_order stops[PEER_LEAVING_MAX];
};

/** enum claim_answer - what an owner says about a claim of its own */
enum claim_answer {
	CLAIM_ANSWER_RUNNING,
	CLAIM_ANSWER_NEVER_DISPATCHED,
	CLAIM_ANSWER_UNKNOWN,
};

/**
 * struct peer_reserve - reservation of an engine for a suspect request
 * @stamp: hybrid logical clock when the holder asked; the same in all rounds
 * @left_ms: time after which it ends without a renewal
 * @answer: of an acknowledgement, with @in_flight
 */
struct peer_reserve {
	char endpoint[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t stamp;
	uint32_t round;
	int64_t left_ms;
	enum reserve_answer answer;
	int in_flight;
};

/**
 * struct peer_message - one message between instances
 * @sender: instance id, @incarnation its incarnation
 * @hlc: hybrid logical clock of the sender
 * @fleet: owned; made by peer_message_create(); likewise @loads and @sharing
 */
struct peer_message {
	enum peer_message_kind kind;
	char sender[MEMBER_ID_MAX];
	uint64_t incarnation;
	uint64_t hlc;
	union {
		struct peer_heartbeat heartbeat;
		struct peer_change change;
		int64_t fetch_after;
		struct peer_batch batch;
		struct peer_part part;
		struct peer_order order;
		struct peer_fleet *fleet;
		struct peer_loads *loads;
		struct peer_sharing *sharing;
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
		struct peer_reserve reserve;
	} u;
};

/** peer_message_create - zeroed message of @kind; release with peer_message_destroy() */
struct peer_message *peer_message_create(enum peer_message_kind kind);
void peer_message_destroy(struct peer_message *m);

/** peer_message_encode - append the CBOR form; -1 with CODEC_TOO_LARGE */
int peer_message_encode(const struct peer_message *m, struct buf *out, struct error *err);

/**
 * peer_message_decode - read hostile bytes
 *
 * Allocates nothing on behalf of a declared length; every text, count and number is checked
 * against its bound, and nothing may follow the message.
 *
 * Return: a message; NULL with CODEC_MALFORMED, CODEC_UNKNOWN_TYPE or CODEC_TOO_LARGE.
 */
struct peer_message *peer_message_decode(struct str data, struct error *err);

#endif
