#ifndef IBISGATE_TESTS_EVENTUALLY_H
#define IBISGATE_TESTS_EVENTUALLY_H

#include <cstdint>

extern "C" {
#include "ibisgate/common/clock.h"
}

/* Polls until @f holds; false when it does not within @limit_ms. */
template <typename F> bool eventually(F f, int64_t limit_ms)
{
	int64_t end = clock_boot_ms() + limit_ms;

	while (!f()) {
		if (clock_boot_ms() > end)
			return false;
		clock_sleep_ms(10);
	}
	return true;
}

#endif
