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
 * A rig runs the control plane of one instance, without a listener for callers, so that a test can
 * run several instances in its own process. The daemon's headers use C11 atomics, which C++17 can't
 * include, so the C++ tests use the functions below instead.
 */
struct rig;

/** rig_create - start an instance with the given settings; aborts on an error */
struct rig *rig_create(const char *settings_text);

/** rig_start_polling - also poll the load of engines, as a complete instance does */
void rig_start_polling(struct rig *r);

/** rig_kill - stop and free the instance without notice to its peers, like a killed process */
void rig_kill(struct rig *r);

/** rig_shutdown - graceful shutdown; frees the instance */
void rig_shutdown(struct rig *r);
int rig_peer_port(struct rig *r);

/** rig_try_ready - put the instance into service if its control plane is ready; false if not */
bool rig_try_ready(struct rig *r);
struct fleet *rig_fleet(struct rig *r);
json_t *rig_status(struct rig *r);
bool rig_drain_start(struct rig *r, const char *dc, const char *endpoint, enum endpoint_role from,
		     enum endpoint_role to);

/** rig_config_change - control_config_change() with @value as JSON text, NULL to delete the key */
int rig_config_change(struct rig *r, const char *key, const char *value, int64_t if_version,
		      int64_t *version, struct error *err);

/** rig_claim_begin - claim_begin() with the ticket kept in slot @i; returns the verdict */
enum claim_verdict rig_claim_begin(struct rig *r, int i, const char *key, const char *body,
				   int64_t timeout_ms);
bool rig_claim_dispatch(struct rig *r, int i);
void rig_claim_finish(struct rig *r, int i, const char *body);
void rig_claim_release(struct rig *r, int i);

/** rig_claim_result - stored result of the claim in slot @i */
const char *rig_claim_result(struct rig *r, int i);

/** rig_reserve_begin - control_reserve_begin(); returns the handle */
uint64_t rig_reserve_begin(struct rig *r, const char *endpoint, bool is_last);

/** rig_reserve_wait - wait up to @wait_ms for the reservation; returns its phase */
enum reserve_phase rig_reserve_wait(struct rig *r, uint64_t handle, int wait_ms);
bool rig_reserve_is_held(struct rig *r, uint64_t handle);
void rig_reserve_end(struct rig *r, uint64_t handle);

/** rig_quarantine_verdict - verdict on @fingerprint, with @charge after recording a crash of it */
int rig_quarantine_verdict(struct rig *r, uint64_t fingerprint, bool charge);

/**
 * rig_quarantine_suspect - record that the connection of @fingerprint to @endpoint broke
 *
 * The request ran alone there. Return: the verdict.
 */
int rig_quarantine_suspect(struct rig *r, uint64_t fingerprint, const char *endpoint);

#endif
