#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ibisgate/load/check.h"
#include "ibisgate/load/scenario.h"
#include "ibisgate/standins/text.h"
}

static struct str to_str(const std::string &s)
{
	return { s.data(), s.size() };
}

static std::string token(uint64_t seed, int i)
{
	char out[TEXT_TOKEN_BYTES + 1];

	generated_text_token(seed, i, out);
	return out;
}

static std::string chunk(const std::string &text)
{
	return "data: {\"choices\":[{\"index\":0,\"text\":\"" + text + "\"}]}\n\n";
}

static const std::string done = "data: [DONE]\n\n";
static const uint64_t other_seed = 99;

static bool is_foreign_token(void *user, int64_t index, const char *text)
{
	return token(other_seed, (int)index) == std::string(text, TEXT_TOKEN_BYTES);
}

/* Checks @stream, fed @step bytes at a time, as a response of 3 tokens with seed 7. */
static enum check_fault check_stream(const std::string &stream, size_t step)
{
	struct check c;
	enum check_fault fault;

	check_init(&c, 7, 3);
	c.is_foreign_token = is_foreign_token;
	for (size_t i = 0; i < stream.size(); i += step)
		check_feed(&c, to_str(stream.substr(i, step)), (int64_t)i);
	fault = check_finish(&c);
	check_free(&c);
	return fault;
}

static std::string tok(int i)
{
	return token(7, i);
}

/* Guards against a checker whose result depends on how the stream is split into reads. */
TEST(LoadCheck, CompleteResponsePassesForAnyReadSize)
{
	std::string s = ": hb\n\n" + chunk(tok(0) + tok(1)) + ": hb\r\n\r\n" + chunk(tok(2)) + done;

	for (size_t step = 1; step <= s.size(); step++)
		EXPECT_EQ(check_stream(s, step), CHECK_OK) << "step " << step;
}

/* Guards against faulty responses that are reported as complete. */
TEST(LoadCheck, ReportsEachKindOfFault)
{
	std::string wrong = tok(1);

	wrong[3] = wrong[3] == '0' ? '1' : '0';
	EXPECT_EQ(check_stream(chunk(tok(0)) + chunk(wrong) + chunk(tok(2)) + done, 50),
		  CHECK_WRONG_TEXT);
	EXPECT_EQ(check_stream(chunk(tok(0)) + chunk(tok(1)) + chunk(tok(2)), 50), CHECK_NO_DONE);
	EXPECT_EQ(check_stream(chunk(tok(0)) + done, 50), CHECK_SHORT);
	EXPECT_EQ(check_stream(chunk(token(other_seed, 0)), 50), CHECK_FOREIGN);
	EXPECT_EQ(check_stream(chunk(tok(0)) + chunk(tok(0)) + chunk(tok(1)) + done, 50),
		  CHECK_DUPLICATE);
	EXPECT_EQ(check_stream(chunk(tok(0) + tok(1) + tok(2)) + chunk(tok(2)) + done, 50),
		  CHECK_DUPLICATE);
	EXPECT_EQ(check_stream(chunk(tok(0)) + chunk(tok(2)) + done, 50), CHECK_GAP);
	EXPECT_EQ(check_stream(chunk(tok(0) + tok(1) + tok(2)) + chunk(tok(3)) + done, 50),
		  CHECK_TOO_LONG);
	EXPECT_EQ(check_stream(chunk(tok(0) + tok(1) + tok(2)) + done + chunk("x"), 50),
		  CHECK_AFTER_DONE);
	EXPECT_EQ(check_stream("<html>\n", 50), CHECK_MALFORMED);
	EXPECT_EQ(
		check_stream(chunk(tok(0)) + "data: {\"error\":{\"type\":\"not_run\"}}\n\n" + done,
			     50),
		CHECK_ERROR_EVENT);
}

TEST(LoadCheck, MeasuresFirstTokenTimeAndGaps)
{
	struct check c;

	check_init(&c, 7, 3);
	check_feed(&c, to_str(chunk(tok(0))), 1000);
	check_feed(&c, to_str(chunk(tok(1))), 1100);
	check_feed(&c, to_str(chunk(tok(2)) + done), 1400);
	EXPECT_EQ(check_finish(&c), CHECK_OK);
	EXPECT_EQ(c.first_us, 1000);
	EXPECT_EQ(check_gap_mean_us(&c), 200);
	EXPECT_EQ(check_gap_p95_us(&c), 100);
	check_free(&c);
}

static std::string scenario_problems(const char *text)
{
	static struct scenario s;
	struct error err = {};
	char *out = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&out, &len);

	scenario_parse(&s, text, f, &err);
	fclose(f);
	std::string got(out, len);
	free(out);
	return got;
}

/* Guards against a scenario with misspelt keys or invalid values that is accepted and run. */
TEST(LoadScenario, ReportsInvalidInput)
{
	EXPECT_NE(scenario_problems("[phase a]\nrat = 1\n").find("[phase a] rat: unknown key"),
		  std::string::npos);
	EXPECT_NE(scenario_problems("[phase a]\nprefix-share = 1.5\n").find("from 0 to 1"),
		  std::string::npos);
	EXPECT_NE(scenario_problems("[phase a]\nrate=1\n[phase b]\nrate=1\n").find("later start"),
		  std::string::npos);
	EXPECT_NE(scenario_problems("[organisation o]\npriority = high\n").find("expected urgent"),
		  std::string::npos);
	EXPECT_NE(scenario_problems("[organisation o]\nweight = 0\n").find("sum above 0"),
		  std::string::npos);
	EXPECT_NE(scenario_problems("[other]\na = 1\n").find("expected a section"),
		  std::string::npos);
}

/* Guards against arrivals and sizes that ignore the phases, the factors or the mean size. */
TEST(LoadScenario, ArrivalsFollowPhasesAndFactors)
{
	static struct scenario s;
	struct error err = {};
	struct scenario_random r = { 5, 0 };
	int count[2] = { 0, 0 };
	double size = 0;

	ASSERT_EQ(scenario_parse(&s,
				 "[phase a]\nrate = 100\n[phase b]\nstart-s = 10\nrate = 20\n"
				 "[organisation o]\nkey = k\nfactor = 3\n[organisation p]\nkey=l\n",
				 stderr, &err),
		  0);
	for (double t_s = scenario_next_arrival(&s, &r, 0); t_s < 20;
	     t_s = scenario_next_arrival(&s, &r, t_s))
		count[t_s >= 10]++;
	EXPECT_NEAR(count[0], 2000, 200);
	EXPECT_NEAR(count[1], 400, 90);
	for (int i = 0; i < 20000; i++)
		size += (double)scenario_size_draw(&r, 200, 0.5) / 20000;
	EXPECT_NEAR(size, 200, 8);
	for (int i = 0; i < 4000; i++)
		count[0] += scenario_organisation_draw(&s, &r) == 0;
	EXPECT_GT(count[0], 2000 + 2600);
}
