#include <stdio.h>

#include "control.h"

#define TARGET_ORGANISATIONS 21000

static void measurement_print(const char *name, int x, const struct measurement *f)
{
	printf("slope %s x=%d control_us_s=%.0f process_us_s=%.0f rss_mb=%.1f peer_bytes_s=%.0f "
	       "peer_messages_s=%.1f table_reads_s=%.2f table_writes_s=%.2f poll_bytes_s=%.0f "
	       "list_bytes_s=%.0f "
	       "apply_ms=%.1f start_ms=%.0f\n",
	       name, x, f->control_us, f->process_us, f->rss_mb, f->peer_bytes, f->peer_messages,
	       f->reads, f->writes, f->poll_bytes, f->list_bytes, f->apply_ms, f->start_ms);
}

/** struct regression - running sums of a least squares fit over one series */
struct regression {
	double n, x, y, xx, xy;
};

static void regression_add(struct regression *l, double x, double y)
{
	l->n += 1;
	l->x += x;
	l->y += y;
	l->xx += x * x;
	l->xy += x * y;
}

static void regression_print(const struct regression *l, const char *name, const char *what)
{
	double det = l->n * l->xx - l->x * l->x;
	double slope = det > 0 ? (l->n * l->xy - l->x * l->y) / det : 0;

	printf("line %s %s = %.4g + %.4g x\n", name, what, (l->y - slope * l->x) / l->n, slope);
}

static int series_run(const char *name, const struct bench_point *points, const int *x, int count,
		      struct error *err)
{
	struct regression control = { 0 };
	struct regression process = { 0 };
	struct regression rss = { 0 };
	struct regression bytes = { 0 };

	for (int i = 0; i < count; i++) {
		struct measurement f;

		if (point_measure(&points[i], &f, err) < 0)
			return -1;
		measurement_print(name, x[i], &f);
		regression_add(&control, x[i], f.control_us);
		regression_add(&process, x[i], f.process_us);
		regression_add(&rss, x[i], f.rss_mb);
		regression_add(&bytes, x[i], f.peer_bytes + f.poll_bytes);
	}
	regression_print(&control, name, "control_us_s");
	regression_print(&process, name, "process_us_s");
	regression_print(&rss, name, "rss_mb");
	regression_print(&bytes, name, "peer_and_poll_bytes_s");
	return 0;
}

int members_series(struct error *err)
{
	static const struct bench_point members[] = {
		{ .peers = 0, .delegate = true },   { .peers = 17, .delegate = true },
		{ .peers = 52, .delegate = true },  { .peers = 105, .delegate = true },
		{ .peers = 210, .delegate = true },
	};
	static const struct bench_point others[] = {
		{ .peers = 3 },
		{ .peers = 17 },
		{ .peers = 52 },
		{ .peers = 105 },
	};
	static const int x[] = { 1, 18, 53, 106, 211 };
	static const int y[] = { 4, 18, 53, 106 };

	if (series_run("nodes_delegate", members, x, 5, err) < 0)
		return -1;
	return series_run("nodes_other", others, y, 4, err);
}

int workers_series(struct error *err)
{
	static const struct bench_point points[] = {
		{ .peers = 52, .delegate = true },
		{ .peers = 52, .delegate = true, .workers = 71 },
		{ .peers = 52, .delegate = true, .workers = 214 },
		{ .peers = 52, .delegate = true, .workers = 500 },
		{ .peers = 52, .delegate = true, .workers = 1500 },
	};
	static const int x[] = { 0, 71, 214, 500, 1500 };

	return series_run("workers", points, x, 5, err);
}

int organisations_series(struct error *err)
{
	static const struct bench_point points[] = {
		{ .delegate = true, .organisations = 100 },
		{ .delegate = true, .organisations = 1000 },
		{ .delegate = true, .organisations = 5000 },
		{ .delegate = true, .organisations = TARGET_ORGANISATIONS },
	};
	static const int x[] = { 100, 1000, 5000, TARGET_ORGANISATIONS };

	return series_run("organisations", points, x, 4, err);
}

int streams_series(struct error *err)
{
	static const struct bench_point points[] = {
		{ .delegate = true, .streams = 1 },
		{ .delegate = true, .streams = 100 },
		{ .delegate = true, .streams = 250 },
		{ .delegate = true, .streams = 500 },
	};
	static const int x[] = { 1, 100, 250, 500 };

	return series_run("streams", points, x, 4, err);
}

static int target_point(const char *name, bool delegate, struct error *err)
{
	struct bench_point target = { .peers = 52,
				      .delegate = delegate,
				      .workers = 214,
				      .organisations = TARGET_ORGANISATIONS };
	struct measurement f;

	if (point_measure(&target, &f, err) < 0)
		return -1;
	measurement_print(name, 53, &f);
	printf("control_core_percent=%.2f control_mb=%.1f control_kb_s=%.1f\n", f.control_us / 1e4,
	       f.rss_mb, (f.peer_bytes + f.poll_bytes + f.list_bytes) / 1e3);
	return 0;
}

int target_measure(struct error *err)
{
	if (target_point("target_region", true, err) < 0)
		return -1;
	return target_point("target_other", false, err);
}
