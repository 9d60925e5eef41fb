#include <gtest/gtest.h>

#include <atomic>

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/common/supervisor.h"
}

struct probe {
	std::atomic<int> starts{ 0 };
	std::atomic<int> gave_up{ 0 };
	int failures;
};

static int fail_some(void *ctx, struct error *err)
{
	auto *p = static_cast<probe *>(ctx);

	if (p->starts++ < p->failures)
		return error_set(err, ERROR_STATE, 1, "injected");
	while (!child_sleep_ms(20))
		;
	return 0;
}

static void on_give_up(void *ctx)
{
	static_cast<probe *>(ctx)->gave_up++;
}

static void wait_starts(probe *p, int starts)
{
	for (int i = 0; i < 200 && p->starts < starts; i++)
		clock_sleep_ms(10);
}

static void run(probe *p, int max_restarts)
{
	struct supervisor *sup = supervisor_create(max_restarts, 60000, on_give_up, p);
	struct child_spec spec = { "probe", fail_some, p, false };

	supervisor_start(sup, &spec);
	wait_starts(p, p->failures + 1);
	supervisor_destroy(sup);
}

/* Guards against a failed thread that stays dead. */
TEST(Supervisor, RestartsAFailedChild)
{
	probe p;

	p.failures = 2;
	run(&p, 5);
	EXPECT_EQ(p.starts, 3);
	EXPECT_EQ(p.gave_up, 0);
}

/* Guards against an endless restart loop that keeps accepting work. */
TEST(Supervisor, GivesUpOnceAfterTooManyRestarts)
{
	probe p;

	p.failures = 5;
	run(&p, 2);
	EXPECT_EQ(p.gave_up, 1);
}

static int sleep_long(void *ctx, struct error *err)
{
	child_sleep_ms(60000);
	return 0;
}

/* Guards against a planned stop that waits until each child has slept to the end. */
TEST(Supervisor, StopCutsSleepShort)
{
	const struct child_spec spec = { "sleeper", sleep_long, nullptr, false };
	struct supervisor *sup = supervisor_create(5, 60000, on_give_up, nullptr);
	int64_t begun = clock_boot_ms();

	supervisor_start(sup, &spec);
	supervisor_destroy(sup);
	EXPECT_LT(clock_boot_ms() - begun, 5000);
}
