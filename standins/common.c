#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/standins/common.h"

#define OPTIONS_MAX 40

int64_t mono_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

struct timespec mono_timespec(int64_t us)
{
	return (struct timespec){ .tv_sec = us / 1000000, .tv_nsec = (us % 1000000) * 1000 };
}

void mono_sleep_until(int64_t deadline_us)
{
	struct timespec ts = mono_timespec(deadline_us);

	clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
}

void cond_init_mono(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

bool random_chance(double p)
{
	if (p <= 0)
		return false;
	return (double)(random_u64() >> 11) / (double)(1ULL << 53) < p;
}

static void option_store(const struct option_spec *spec, void *entry)
{
	if (spec->number) {
		const struct arg_int *a = entry;

		if (a->count)
			*spec->number = a->ival[0];
	} else if (spec->fraction) {
		const struct arg_dbl *a = entry;

		if (a->count)
			*spec->fraction = a->dval[0];
	} else {
		const struct arg_str *a = entry;

		/* The string points into argv, so it stays valid after the table is freed. */
		if (a->count)
			*spec->text = a->sval[0];
	}
}

int options_parse(int argc, char **argv, const struct option_spec *specs, int count)
{
	void *table[OPTIONS_MAX + 1];
	struct arg_end *end = arg_end(10);
	int rc = -1;

	for (int i = 0; i < count; i++) {
		if (specs[i].number)
			table[i] = arg_int0(NULL, specs[i].name, "N", specs[i].help);
		else if (specs[i].fraction)
			table[i] = arg_dbl0(NULL, specs[i].name, "X", specs[i].help);
		else
			table[i] = arg_str0(NULL, specs[i].name, "TEXT", specs[i].help);
	}
	table[count] = end;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, "  %-26s %s\n");
		goto out;
	}
	for (int i = 0; i < count; i++)
		option_store(&specs[i], table[i]);
	rc = 0;
out:
	arg_freetable(table, (size_t)count + 1);
	return rc;
}

static void signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void signals_block(void)
{
	sigset_t set;

	signal_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void signals_wait(void)
{
	sigset_t set;
	int sig;

	signal_set(&set);
	sigwait(&set, &sig);
}
