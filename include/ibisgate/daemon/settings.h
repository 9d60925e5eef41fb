#ifndef IBISGATE_DAEMON_SETTINGS_H
#define IBISGATE_DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/log.h"
#include "ibisgate/policy/place.h"

#define SETTINGS_ROUTES_MAX 512
#define SETTINGS_SEEDS_MAX 64
#define SETTINGS_TEXT_MAX 256

/**
 * enum platform_kind - type of the platform that the instance runs on
 * @PLATFORM_TABLE: platform with the project's own protocol, which stores API keys, cluster state
 *	and claims
 * @PLATFORM_ROWS: platform with a store of rows, which is the only storage it offers
 */
enum platform_kind {
	PLATFORM_TABLE,
	PLATFORM_ROWS,
};

/** struct settings_pair - one "key = value" line of a section with free-form keys */
struct settings_pair {
	char key[64];
	char value[128];
};

/**
 * struct settings - contents of the INI file of one instance; see ibisgate(5)
 */
struct settings {
	struct {
		char id[48];
		char dc[32];
		char region[32];
		enum log_level log_level;
	} instance;
	struct {
		char listen[64];
		char advertise[64];
		int threads;
		int64_t body_max_bytes;
		int64_t request_timeout_ms;
		char tls_certificate[SETTINGS_TEXT_MAX];
	} http;
	struct {
		char listen[64];
		char advertise[64];
		char token[128];
	} admin;
	struct {
		char listen[64];
		char advertise[64];
		char curve_public[48];
		char curve_secret[48];
	} peer;
	struct {
		enum platform_kind kind;
		char url[128];
		int64_t timeout_ms;
		int workers;
		int64_t list_poll_ms;
		int64_t config_poll_ms;
	} platform;
	struct {
		int loops;
		int64_t connect_timeout_ms;
		int64_t silence_ms;
		int64_t load_poll_ms;
	} links;
	/*
	 * [ready], [metrics]: addresses of an instance on PLATFORM_ROWS; with explain, the latter
	 * also explains decisions
	 */
	struct {
		char listen[64];
	} ready;
	struct {
		char listen[64];
		int explain;
	} metrics;
	/* [bounds]: limits imposed by the platform */
	struct {
		double retry_ratio;
		double retry_fixed;
		int64_t retry_window_ms;
		int instances_min;
		int64_t stop_grace_ms;
		int64_t change_ms;
		int64_t recovery_ms;
	} bounds;
	/* [machine]: limits of the machine that the instance runs on; 0 when they are not known */
	struct {
		int64_t memory_mb;
		int64_t descriptors;
		double cpu_share;
		double link_mbps;
	} machine;
	/*
	 * [duties]: interface of the platform for work that one instance does for all. @kinds are
	 * the platform's names of that work, separated by commas; "" for none. Endpoints are
	 * ordered only with order_endpoints 1.
	 */
	struct {
		char api[64];
		char kinds[128];
		double calls_per_s;
		int64_t lease_ms;
		int order_endpoints;
		double usage_window_s;
		double usage_late_s;
	} duties;
	/* [engines]: speeds assumed until requests have been measured; see struct place_speed */
	struct {
		double prefill_tokens_per_ms;
		double mixed_tokens_per_ms;
		double overhead_ms;
		double transfer_tokens_per_ms;
	} engines;
	/*
	 * [stages]: prefill_share is the share of the engines that run prefill until requests have
	 * been seen; -1 changes no stages. With order_at_start 0, engines keep their stages until
	 * then.
	 */
	struct {
		double prefill_share;
		int order_at_start;
	} stages;
	/* [admission]: with yield, requests give way by urgency and size while room is short */
	struct {
		int yield;
	} admission;
	/* [place] */
	struct place_costs place;
	struct place_local_limits scope;
	/* [distance]: data centre = one-way latency in microseconds */
	struct settings_pair distance[32];
	int distance_count;
	/* [seeds]: instance id = peer address of an instance to contact at start */
	struct settings_pair seeds[SETTINGS_SEEDS_MAX];
	int seed_count;
	/* [curve-peers]: instance id = CURVE public key (Z85) that may connect */
	struct settings_pair curve_peers[SETTINGS_SEEDS_MAX];
	int curve_peer_count;
	/* [routes]: "platform", instance id or endpoint name = ip:port to connect to instead */
	struct settings_pair routes[SETTINGS_ROUTES_MAX];
	int route_count;
};

enum settings_error {
	SETTINGS_OK,
	SETTINGS_UNREADABLE,
	SETTINGS_INVALID,
};

/** settings_set_defaults - fill @s with the built-in values */
void settings_set_defaults(struct settings *s);

/**
 * settings_load - read and validate a settings file
 * @report: receives one line for each problem: "file:line: [section] key: what was expected"
 *
 * Return: 0; -1 with SETTINGS_UNREADABLE or SETTINGS_INVALID after all problems were reported.
 */
int settings_load(struct settings *s, const char *path, FILE *report, struct error *err);

/** settings_parse - settings_load() for text in memory; @name is the file name in messages */
int settings_parse(struct settings *s, const char *text, const char *name, FILE *report,
		   struct error *err);

/** settings_route - address override for @name, or NULL */
const char *settings_route(const struct settings *s, const char *name);

/** settings_descriptors - descriptors of the machine; those of the process if it is not known */
int64_t settings_descriptors(const struct settings *s);

/**
 * settings_distance_us - one-way latency to data centre @dc in microseconds
 *
 * Return: 0 for the instance's own data centre; 1000 for a data centre that is not configured.
 */
int64_t settings_distance_us(const struct settings *s, const char *dc);

#endif
