#ifndef IBISGATE_TESTS_EVENTUALLY_H
#define IBISGATE_TESTS_EVENTUALLY_H

#include <cstdint>

extern "C" {
#include "ibisgate/common/clock.h"
}

/* Polls until @condition returns true; false if it does not do so within @timeout_ms. */
template <typename Condition> bool eventually(Condition condition, int64_t timeout_ms)
{
	int64_t deadline_ms = clock_boot_ms() + timeout_ms;

	while (!condition()) {
		if (clock_boot_ms() > deadline_ms)
			return false;
		clock_sleep_ms(10);
	}
	return true;
}

#endif
