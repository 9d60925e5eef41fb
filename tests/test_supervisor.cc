#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/common/supervisor.h"
}

struct probe {
	std::atomic<int> start_count{ 0 };
	std::atomic<int> give_up_count{ 0 };
	int failure_count;
};

static int fail_then_wait(void *ctx, struct error *err)
{
	auto *p = static_cast<probe *>(ctx);

	if (p->start_count++ < p->failure_count)
		return error_set(err, ERROR_STATE, 1, "injected");
	while (!child_sleep_ms(20))
		;
	return 0;
}

static void on_give_up(void *ctx)
{
	static_cast<probe *>(ctx)->give_up_count++;
}

static void wait_for_starts(probe *p, int start_count)
{
	for (int i = 0; i < 200 && p->start_count < start_count; i++)
		clock_sleep_ms(10);
}

static void run_probe(probe *p, int max_restarts)
{
	struct supervisor *sup = supervisor_create(max_restarts, 60000, on_give_up, p);
	struct child_spec spec = { "probe", fail_then_wait, p, false };

	supervisor_start(sup, &spec);
	wait_for_starts(p, p->failure_count + 1);
	supervisor_destroy(sup);
}

/* Guards against a failed child that is not restarted. */
TEST(Supervisor, RestartsFailedChild)
{
	probe p;

	p.failure_count = 2;
	run_probe(&p, 5);
	EXPECT_EQ(p.start_count, 3);
	EXPECT_EQ(p.give_up_count, 0);
}

/* Guards against an instance that accepts work while a child fails again after each restart. */
TEST(Supervisor, CallsGiveUpOnceAfterTooManyRestarts)
{
	probe p;

	p.failure_count = 5;
	run_probe(&p, 2);
	EXPECT_EQ(p.give_up_count, 1);
}

static int sleep_long(void *ctx, struct error *err)
{
	child_sleep_ms(60000);
	return 0;
}

/* Guards against a graceful shutdown that waits until each child's sleep has expired. */
TEST(Supervisor, StopInterruptsSleep)
{
	const struct child_spec spec = { "sleeper", sleep_long, nullptr, false };
	struct supervisor *sup = supervisor_create(5, 60000, on_give_up, nullptr);
	int64_t start_ms = clock_boot_ms();

	supervisor_start(sup, &spec);
	supervisor_destroy(sup);
	EXPECT_LT(clock_boot_ms() - start_ms, 5000);
}

/* Guards against a stop that waits for a child which waits for something else than the stop. */
TEST(Supervisor, StopWakesChildren)
{
	struct pipe_ends {
		int fds[2];
	} ends;
	struct supervisor *sup = supervisor_create(1, 1000, on_give_up, nullptr);
	struct child_spec spec = {};
	int64_t start;

	ASSERT_EQ(pipe(ends.fds), 0);
	spec.name = "waiter";
	spec.ctx = &ends;
	spec.run = [](void *ctx, struct error *) {
		char c;

		return read(static_cast<pipe_ends *>(ctx)->fds[0], &c, 1) == 1 &&
				       child_is_stopping()
			       ? 0
			       : -1;
	};
	spec.wake = [](void *ctx) {
		EXPECT_EQ(write(static_cast<pipe_ends *>(ctx)->fds[1], "", 1), 1);
	};
	supervisor_start(sup, &spec);
	start = clock_boot_ms();
	supervisor_destroy(sup);
	EXPECT_LT(clock_boot_ms() - start, 1000);
	close(ends.fds[0]);
	close(ends.fds[1]);
}
