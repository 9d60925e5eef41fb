#ifndef IBISGATE_TESTS_CONTROL_RIG_H
#define IBISGATE_TESTS_CONTROL_RIG_H

#include <stdbool.h>

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/net/platform.h"
#include "ibisgate/state/claim.h"
#include "ibisgate/state/config.h"
#include "ibisgate/state/quarantine.h"
#include "ibisgate/state/reserve.h"

/*
 * Control planes of several instances in one process, each with a fleet that takes no callers.
 * The daemon's headers use C11 atomics, which C++17 can't include, so these calls stand between.
 */
struct rig;

struct rig *rig_create(const char *settings_text);

/** rig_poll - poll engines as well, like a whole instance */
void rig_poll(struct rig *r);

/** rig_kill - stop without a word to anyone, like a killed process */
void rig_kill(struct rig *r);

/** rig_leave - graceful stop */
void rig_leave(struct rig *r);
int rig_peer_port(struct rig *r);
bool rig_ready(struct rig *r);
struct fleet *rig_fleet(struct rig *r);
json_t *rig_status(struct rig *r);
bool rig_drain(struct rig *r, const char *dc, const char *endpoint, enum endpoint_role from,
	       enum endpoint_role to);
int rig_change(struct rig *r, const char *key, const char *value, int64_t if_version,
	       int64_t *version, struct error *err);

/** rig_claim - claim_begin() with the ticket kept in slot @i; verdict */
enum claim_verdict rig_claim(struct rig *r, int i, const char *key, const char *body,
			     int64_t timeout_ms);
bool rig_claim_dispatch(struct rig *r, int i);
void rig_claim_finish(struct rig *r, int i, const char *body);
void rig_claim_release(struct rig *r, int i);

/** rig_result - stored result of slot @i */
const char *rig_result(struct rig *r, int i);

/** rig_reserve - control_reserve_begin(); rig_reserve_phase() waits up to @wait_ms */
uint64_t rig_reserve(struct rig *r, const char *endpoint, bool last);
enum reserve_phase rig_reserve_phase(struct rig *r, uint64_t handle, int wait_ms);
bool rig_reserve_held(struct rig *r, uint64_t handle);
void rig_reserve_end(struct rig *r, uint64_t handle);
int rig_quarantine(struct rig *r, uint64_t fingerprint, bool charge);

/** rig_suspect - @fingerprint was alone on @endpoint when its connection broke; verdict */
int rig_suspect(struct rig *r, uint64_t fingerprint, const char *endpoint);

#endif
