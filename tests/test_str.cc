#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/common/json.h"
#include "ibisgate/common/str.h"
}

static bool is_utf8(const char *s, size_t len)
{
	return str_is_utf8(str{ s, len });
}

/* Guards against invalid UTF-8 in responses or keys that ends up in JSON. */
TEST(Str, Utf8RejectsMalformedSequences)
{
	EXPECT_TRUE(is_utf8("", 0));
	EXPECT_TRUE(is_utf8("a\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80", 10));
	EXPECT_FALSE(is_utf8("\xc0\xaf", 2));
	EXPECT_FALSE(is_utf8("\xe0\x80\x80", 3));
	EXPECT_FALSE(is_utf8("\xed\xa0\x80", 3));
	EXPECT_FALSE(is_utf8("\xf4\x90\x80\x80", 4));
	EXPECT_FALSE(is_utf8("\xe2\x82", 2));
	EXPECT_FALSE(is_utf8("\x80", 1));
}

/* Guards against accepting numbers that have trailing bytes or overflow. */
TEST(Str, NumbersWithTrailingBytesOrOverflowAreRejected)
{
	int64_t v = 7;

	EXPECT_TRUE(str_to_i64(str_from("-12"), &v));
	EXPECT_EQ(v, -12);
	EXPECT_FALSE(str_to_i64(str_from("12x"), &v));
	EXPECT_FALSE(str_to_i64(str_from(" 12"), &v));
	EXPECT_FALSE(str_to_i64(str_from(""), &v));
	EXPECT_FALSE(str_to_i64(str_from("99999999999999999999"), &v));
}

TEST(Str, SplitReturnsEachPartOnce)
{
	struct str rest = str_from("a,,b");

	EXPECT_TRUE(str_eq_cstr(str_split(&rest, ','), "a"));
	EXPECT_TRUE(str_eq_cstr(str_split(&rest, ','), ""));
	EXPECT_TRUE(str_eq_cstr(str_split(&rest, ','), "b"));
	EXPECT_EQ(rest.len, 0u);
}

/* Guards against a buffer that loses bytes when it grows or is consumed. */
TEST(Buf, KeepsBytesWhenAppendingAndConsuming)
{
	struct buf b = {};

	for (int i = 0; i < 1000; i++)
		buf_printf(&b, "%d ", i % 10);
	EXPECT_EQ(b.len, 2000u);
	buf_consume(&b, 1998);
	EXPECT_TRUE(str_eq_cstr(buf_str(&b), "9 "));
	buf_consume(&b, 5);
	EXPECT_EQ(b.len, 0u);
	buf_free(&b);
}
