#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#ifdef __SANITIZE_ADDRESS__
/* Declared here because sanitizer/allocator_interface.h is not installed with every gcc. */
extern "C" size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

/* The member "class" of struct share_ticket is a keyword of C++. */
#define class klass
extern "C" {
#include "ibisgate/policy/share.h"
}
#undef class

struct Org {
	std::string name;
	double weight;
	double served = 0;
	double largest = 0;
	std::deque<share_ticket *> waiting;
};

struct Share : testing::Test {
	share_queue *q = share_create();
	std::deque<share_ticket> tickets;
	std::vector<Org> orgs;
	std::mt19937_64 rng;

	void seed(uint64_t s)
	{
		RecordProperty("seed", std::to_string(s));
		printf("seed %llu\n", (unsigned long long)s);
		rng.seed(s);
	}
	~Share() override
	{
		share_destroy(q);
	}
	double uniform(double a, double b)
	{
		return std::uniform_real_distribution<>(a, b)(rng);
	}
	void add_orgs(int n, double lo, double hi)
	{
		for (int i = 0; i < n; i++)
			orgs.push_back({ "org" + std::to_string(i), uniform(lo, hi) });
	}
	share_ticket *enqueue(size_t org, int64_t cost, share_class c = CLASS_NORMAL,
			      int64_t deadline = INT64_MAX, int64_t now = 0)
	{
		Org &o = orgs[org];
		share_ticket t = {};

		t.organisation = { o.name.data(), o.name.size() };
		t.weight = o.weight;
		t.klass = c;
		t.cost_us = cost;
		t.deadline_ms = deadline;
		tickets.push_back(t);
		share_enqueue(q, &tickets.back(), now);
		o.largest = std::max(o.largest, (double)cost);
		return &tickets.back();
	}
	size_t org_of(const share_ticket *t)
	{
		return std::stoul(t->organisation.data + 3);
	}
	/* Admits the next ticket; returns NULL when none waits. */
	share_ticket *admit_next()
	{
		share_ticket *t = share_peek(q);

		if (t) {
			share_admit(q, t, 0);
			orgs[org_of(t)].served += (double)t->cost_us;
		}
		return t;
	}
};

/* Service of each organisation after @work under generalised processor sharing. */
static std::vector<double> fluid_service(const std::vector<Org> &orgs,
					 const std::vector<double> &total, double work)
{
	std::vector<double> got(orgs.size());
	double low = 0;
	double high = 1e15;

	for (int i = 0; i < 200; i++) {
		double v = (low + high) / 2;
		double sum = 0;

		for (size_t o = 0; o < orgs.size(); o++)
			sum += got[o] = std::min(total[o], orgs[o].weight * v);
		(sum < work ? low : high) = v;
	}
	return got;
}

/*
 * Guards against an organisation that is ahead of or behind its share in the fluid model by more
 * than the largest ticket of any organisation, scaled by the weights.
 */
TEST_F(Share, ServiceFollowsTheFluidModel)
{
	for (uint64_t s = 1; s <= 20; s++) {
		std::vector<double> total;
		double ratio = 0;
		double work = 0;

		seed(s);
		orgs.clear();
		add_orgs(2 + (int)(s * 2), 0.1, 10);
		for (size_t o = 0; o < orgs.size(); o++) {
			total.push_back(0);
			for (int k = 0; k < 1 + (int)(rng() % 40); k++) {
				int64_t cost = 1 + (int64_t)(rng() % 100000);

				enqueue(o, cost, (share_class)(rng() % 3));
				total[o] += (double)cost;
			}
			ratio = std::max(ratio, orgs[o].largest / orgs[o].weight);
		}
		while (share_ticket *t = admit_next()) {
			std::vector<double> exact;

			work += (double)t->cost_us;
			exact = fluid_service(orgs, total, work);
			for (size_t o = 0; o < orgs.size(); o++) {
				ASSERT_LE(orgs[o].served - exact[o], orgs[o].largest + 1);
				ASSERT_LE(exact[o] - orgs[o].served, orgs[o].weight * ratio + 1);
			}
		}
		ASSERT_EQ(share_depth(q), 0);
	}
}

/*
 * Guards against a wrong order after random arrivals, cancellations, corrected charges and skipped
 * organisations: a linear scan over the tags must select the same ticket. Also checks that a ticket
 * is offered whenever one waits.
 */
TEST_F(Share, OrderMatchesNaiveScan)
{
	struct Naive {
		double tag = 0;
		uint64_t seq = 0;
		std::vector<share_ticket *> list[3];
		size_t depth() const
		{
			return list[0].size() + list[1].size() + list[2].size();
		}
	};
	for (uint64_t s = 100; s < 110; s++) {
		std::map<size_t, Naive> naive;
		double vtime = 0;
		uint64_t seq = 0;
		size_t depth = 0;

		seed(s);
		orgs.clear();
		add_orgs(60, 1, 5);
		auto remove = [&](share_ticket *t, double charge) {
			size_t org = org_of(t);
			auto &l = naive[org].list[t->klass];

			l.erase(std::find(l.begin(), l.end(), t));
			naive[org].tag += charge / orgs[org].weight;
			depth--;
			if (!depth) {
				naive.clear();
				vtime = 0;
			}
		};
		for (int step = 0; step < 20000; step++) {
			size_t org = rng() % orgs.size();
			int op = (int)(rng() % 11);
			size_t first = SIZE_MAX;

			for (auto &[o, n] : naive) {
				if (n.depth() &&
				    (first == SIZE_MAX ||
				     std::make_pair(n.tag, n.seq) <
					     std::make_pair(naive[first].tag, naive[first].seq)))
					first = o;
			}
			share_ticket *expected = nullptr;
			for (int c = 2; c >= 0 && first != SIZE_MAX; c--) {
				if (!naive[first].list[c].empty())
					expected = naive[first].list[c][0];
			}
			ASSERT_EQ(share_peek(q), expected) << "step " << step;
			ASSERT_EQ(share_depth(q), (int)depth);
			if (op < 5) {
				Naive &n = naive[org];

				if (!n.depth()) {
					n.tag = std::max(n.tag, vtime);
					n.seq = seq++;
				}
				share_ticket *t = enqueue(org, 1 + (int64_t)(rng() % 9999),
							  (share_class)(rng() % 3));
				n.list[t->klass].push_back(t);
				depth++;
			} else if (op < 9 && expected) {
				share_ticket *t = expected;
				size_t from = org;

				if (op == 8 && naive.count(from) && !naive[from].list[1].empty())
					t = naive[from].list[1].back();
				if (op == 7) {
					share_cancel(q, t);
					remove(t, 0);
				} else {
					vtime = std::max(vtime, naive[first].tag);
					share_admit(q, t, 0);
					remove(t, (double)t->cost_us);
				}
			} else if (op == 10 && expected) {
				/*
				 * With @first skipped, the next organisation follows; its
				 * admission must not advance virtual time past the tag of
				 * @first.
				 */
				size_t second = SIZE_MAX;

				share_skip_organisation(q);
				for (auto &[o, n] : naive) {
					if (o != first && n.depth() &&
					    (second == SIZE_MAX ||
					     std::make_pair(n.tag, n.seq) <
						     std::make_pair(naive[second].tag,
								    naive[second].seq)))
						second = o;
				}
				expected = nullptr;
				for (int c = 2; c >= 0 && second != SIZE_MAX; c--) {
					if (!naive[second].list[c].empty())
						expected = naive[second].list[c][0];
				}
				ASSERT_EQ(share_peek(q), expected) << "step " << step;
				if (expected) {
					vtime = std::max(vtime, naive[first].tag);
					share_admit(q, expected, 0);
					remove(expected, (double)expected->cost_us);
				}
				share_restore_skipped(q);
			} else if (op == 9 && naive.count(org) && naive[org].depth()) {
				int64_t actual = (int64_t)(rng() % 5000);

				share_correct_charge(
					q, { orgs[org].name.data(), orgs[org].name.size() },
					orgs[org].weight, 2500, actual);
				naive[org].tag += (double)(actual - 2500) / orgs[org].weight;
			}
		}
		while (share_ticket *t = share_peek(q))
			share_cancel(q, t);
	}
}

/*
 * Guards against an overloading organisation that takes engine time from organisations within their
 * shares. Estimated costs are wrong by up to a factor of two and corrected after admission.
 */
TEST_F(Share, TenfoldOverloadLeavesOthersTheirShares)
{
	const int64_t end = 20000000;
	std::vector<double> offered(10), next(10);
	std::map<const share_ticket *, int64_t> actual;
	int64_t now = 0;

	seed(7);
	add_orgs(10, 1, 1);
	while (now < end) {
		for (size_t o = 0; o < 10; o++) {
			double rate = o ? 0.0999 : 1.0;

			while (next[o] <= (double)now) {
				int64_t cost = 200 + (int64_t)(rng() % 1600);

				share_ticket *t =
					enqueue(o, (int64_t)((double)cost * uniform(0.5, 2)));
				actual[t] = cost;
				offered[o] += (double)cost;
				next[o] += (double)cost / rate;
			}
		}
		share_ticket *t = share_peek(q);
		ASSERT_NE(t, nullptr);
		int64_t cost = actual[t];
		share_admit(q, t, 0);
		orgs[org_of(t)].served += (double)cost;
		share_correct_charge(q, t->organisation, 1, t->cost_us, cost);
		now += cost;
	}
	for (size_t o = 1; o < 10; o++) {
		EXPECT_GT(orgs[o].served, 0.99 * offered[o]) << o;
		EXPECT_GT(orgs[o].served, 0.99 * 0.0999 * (double)end) << o;
	}
	EXPECT_NEAR(orgs[0].served, 0.1 * (double)end, 0.01 * 0.1 * (double)end);
	double min_served = 1;
	for (size_t o = 1; o < orgs.size(); o++)
		min_served = std::min(min_served, orgs[o].served / offered[o]);
	printf("flood got %.4f of its share, others at least %.4f of their offered load\n",
	       orgs[0].served / (0.1 * (double)end), min_served);
}

/*
 * Guards against background work that overtakes urgent work of the same organisation, and against
 * urgent work that takes engine time from another organisation.
 */
TEST_F(Share, ClassesOnlyOrderTicketsWithinAnOrganisation)
{
	add_orgs(2, 1, 1);
	for (int i = 0; i < 50; i++) {
		enqueue(0, 100, CLASS_BACKGROUND);
		enqueue(1, 100, CLASS_BACKGROUND);
	}
	for (int i = 0; i < 50; i++)
		enqueue(0, 100, CLASS_URGENT);
	for (int i = 0; i < 100; i++) {
		share_ticket *t = admit_next();

		EXPECT_EQ(t->klass, org_of(t) ? CLASS_BACKGROUND : CLASS_URGENT);
	}
	EXPECT_EQ(orgs[0].served, 5000);
	EXPECT_EQ(orgs[1].served, 5000);
}

/* Guards against credit for idle time: a returning organisation must not catch up. */
TEST_F(Share, IdleTimeGivesNoCredit)
{
	add_orgs(2, 1, 1);
	for (int i = 0; i < 300; i++)
		enqueue(0, 100);
	for (int i = 0; i < 100; i++)
		admit_next();
	for (int i = 0; i < 100; i++)
		enqueue(1, 100);
	for (int i = 0; i < 100; i++)
		admit_next();
	EXPECT_NEAR(orgs[1].served, 5000, 100);
}

/* Guards against tickets that wait past their deadline, and against expiry at the deadline. */
TEST_F(Share, TicketsExpireAfterTheirDeadline)
{
	add_orgs(3, 1, 1);
	seed(11);
	for (int i = 0; i < 500; i++)
		enqueue(rng() % 3, 10, CLASS_NORMAL, (int64_t)(rng() % 1000));
	for (int64_t now = 0; now <= 1000; now += 50) {
		admit_next();
		while (share_ticket *t = share_peek_expired(q, now)) {
			ASSERT_LT(t->deadline_ms, now);
			share_cancel(q, t);
		}
		for (auto &t : tickets)
			ASSERT_TRUE(!t.priv.queued || t.deadline_ms >= now);
	}
	EXPECT_EQ(share_depth(q), 0);
}

/*
 * Guards against refusals on arrival due to the backlog of another organisation, and against an
 * estimate that differs from the actual wait.
 */
TEST_F(Share, WaitEstimateDependsOnTheOwnShare)
{
	share_ticket probe = {};

	add_orgs(3, 1, 1);
	seed(12);
	probe.weight = 1;
	probe.klass = CLASS_NORMAL;
	probe.organisation = { "org1", 4 };
	for (int i = 0; i < 2000; i++)
		enqueue(0, 1000);
	EXPECT_LE(share_expected_wait_us(q, &probe, 1.0), 1000);
	probe.organisation = { "org0", 4 };
	EXPECT_EQ(share_expected_wait_us(q, &probe, 2.0), 1000000);
	probe.klass = CLASS_URGENT;
	EXPECT_EQ(share_expected_wait_us(q, &probe, 2.0), 0);
	for (int i = 0; i < 200; i++) {
		enqueue(1, 500 + (int64_t)(rng() % 1000));
		enqueue(2, 500 + (int64_t)(rng() % 1000));
	}
	probe.klass = CLASS_NORMAL;
	probe.organisation = { "org1", 4 };
	int64_t wait = share_expected_wait_us(q, &probe, 1.0);
	share_ticket *own = enqueue(1, 100);
	int64_t waited = 0;
	while (share_peek(q) != own)
		waited += admit_next()->cost_us;
	EXPECT_NEAR((double)waited, (double)wait, 3 * 1500);
}

/*
 * Guards against recent usage that differs from the decayed sum over all past admissions, after
 * changes of weight, clocks that step back and the removal of idle organisations.
 */
TEST_F(Share, UsageMatchesNaiveSum)
{
	struct Entry {
		size_t org;
		double us;
		int64_t at;
	};
	const int64_t window = 1000;

	for (uint64_t s = 1; s <= 5; s++) {
		share_usage *u = share_usage_create(window);
		std::vector<Entry> log;
		std::map<size_t, std::pair<double, int64_t>> seen;
		int64_t now = 0;

		seed(s);
		orgs.clear();
		add_orgs(400, 1, 5);
		for (int step = 0; step < 3000; step++) {
			size_t org = rng() % (rng() % 400 + 1);
			double weight = uniform(1, 5);
			int64_t us = (int64_t)(rng() % 100000);
			double all = 0;
			double own = 0;
			double weights = 0;

			int64_t before = now;

			now += (int64_t)(rng() % (step % 500 ? 20 : 8000));
			share_usage_add(u, { orgs[org].name.data(), orgs[org].name.size() }, weight,
					us, rng() % 8 ? now : (now = before - 5));
			now = std::max(now, before);
			if (seen.count(org) && now - seen[org].second > 4 * window)
				log.erase(std::remove_if(
						  log.begin(), log.end(),
						  [&](const Entry &e) { return e.org == org; }),
					  log.end());
			log.push_back({ org, (double)us, now });
			seen[org] = { weight, now };
			org = rng() % 400;
			for (auto &[o, w] : seen)
				weights += now - w.second <= 4 * window ? w.first : 0;
			for (const Entry &e : log) {
				double decayed = e.us * exp((double)(e.at - now) / window);

				if (now - seen[e.org].second > 4 * window)
					continue;
				all += decayed;
				own += e.org == org ? decayed : 0;
			}
			double ratio = own > 0 ? own / all * (weights / seen[org].first) : 0;
			ASSERT_NEAR(
				share_usage_ratio(
					u, { orgs[org].name.data(), orgs[org].name.size() }, now),
				ratio, 1e-6 * ratio + 1e-9)
				<< "step " << step;
		}
		share_usage_destroy(u);
	}
}

/*
 * Guards against limiting organisations within their shares while another one overloads the
 * service, and against limiting that organisation after the overload has ended.
 */
TEST_F(Share, UsageIdentifiesTheOverloadingOrganisation)
{
	share_usage *u = share_usage_create(5000);

	add_orgs(5, 1, 1);
	for (int64_t now = 0; now < 10000; now += 100) {
		for (size_t o = 0; o < 5; o++)
			share_usage_add(u, { orgs[o].name.data(), orgs[o].name.size() }, 1,
					o ? 16 : 36, now);
	}
	EXPECT_NEAR(share_usage_ratio(u, { "org0", 4 }, 10000), 1.8, 0.01);
	EXPECT_NEAR(share_usage_ratio(u, { "org1", 4 }, 10000), 0.8, 0.01);
	EXPECT_EQ(share_usage_ratio(u, { "none", 4 }, 10000), 0);
	EXPECT_TRUE(share_usage_exceeds_share(u, { "org0", 4 }, 10000));
	EXPECT_FALSE(share_usage_exceeds_share(u, { "org1", 4 }, 10000));
	for (int64_t now = 10000; now < 30000; now += 100) {
		for (size_t o = 0; o < 5; o++)
			share_usage_add(u, { orgs[o].name.data(), orgs[o].name.size() }, 1, 16,
					now);
	}
	EXPECT_NEAR(share_usage_ratio(u, { "org0", 4 }, 30000), 1, 0.05);
	EXPECT_FALSE(share_usage_exceeds_share(u, { "org0", 4 }, 30000));
	share_usage_destroy(u);
}

static size_t heap_bytes()
{
#ifdef __SANITIZE_ADDRESS__
	return __sanitizer_get_current_allocated_bytes();
#else
	return mallinfo2().uordblks;
#endif
}

/* Guards against memory use that grows with each organisation that ever sent a request. */
TEST_F(Share, IdleOrganisationsAreFreed)
{
	add_orgs(21001, 1, 1);
	enqueue(0, 1);
	for (int i = 0; i < 3; i++)
		enqueue(0, 100);
	for (size_t o = 1; o < orgs.size(); o++)
		enqueue(o, 100);
	size_t peak = heap_bytes();
	while (share_depth(q) > 1)
		admit_next();
	EXPECT_LT(heap_bytes() + 21000 * sizeof(share_ticket), peak);
	admit_next();
	EXPECT_EQ(share_peek(q), nullptr);
}
