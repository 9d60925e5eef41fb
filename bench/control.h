#ifndef BENCH_CONTROL_H
#define BENCH_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/harness/harness.h"

/**
 * struct sim_peers - members of the region of one instance, all in one thread
 *
 * They send what real ones send to that instance, and at the same rate; what it sends to them is
 * received and dropped.
 */
struct sim_peers;

/**
 * sim_peers_create - start @count members, spread over "d0" (that of the instance), "d1" and "d2"
 * @address: peer address "ip:port" of the instance, @target its id
 * @delegate: the instance has the lowest id of its data centre
 * @workers: engines of the region, whose load the members relay
 *
 * Return: NULL when sockets can't be made.
 */
struct sim_peers *sim_peers_create(int count, const char *address, const char *target,
				   bool delegate, int workers);
void sim_peers_destroy(struct sim_peers *s);

/** struct sim_workers - engines that answer polls only, each on a port of its own, in one thread */
struct sim_workers;

struct sim_workers *sim_workers_create(int count);
void sim_workers_destroy(struct sim_workers *s);

/** sim_workers_port - port of worker @index */
int sim_workers_port(const struct sim_workers *s, int index);

/** sim_workers_bytes - bytes of requests and answers so far, both directions */
int64_t sim_workers_bytes(const struct sim_workers *s);

#endif
