#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/str.h"

void *mem_alloc(size_t size)
{
	void *ptr = malloc(size ? size : 1);

	if (!ptr)
		abort();
	return ptr;
}

void *mem_zalloc(size_t size)
{
	void *ptr = calloc(1, size ? size : 1);

	if (!ptr)
		abort();
	return ptr;
}

void *mem_resize(void *ptr, size_t size)
{
	void *p = realloc(ptr, size ? size : 1);

	if (!p)
		abort();
	return p;
}

char *mem_strdup(const char *s)
{
	return str_dup(str_from(s));
}

struct str str_from(const char *s)
{
	return (struct str){ .data = s, .len = s ? strlen(s) : 0 };
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

bool str_eq_cstr(struct str a, const char *b)
{
	return str_eq(a, str_from(b));
}

int str_cmp(struct str a, struct str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n ? memcmp(a.data, b.data, n) : 0;

	if (c)
		return c;
	return (a.len > b.len) - (a.len < b.len);
}

bool str_starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len &&
	       (prefix.len == 0 || memcmp(s.data, prefix.data, prefix.len) == 0);
}

char *str_dup(struct str s)
{
	char *p = mem_alloc(s.len + 1);

	if (s.len)
		memcpy(p, s.data, s.len);
	p[s.len] = '\0';
	return p;
}

bool str_copy(char *dst, size_t size, struct str s)
{
	size_t n = s.len < size - 1 ? s.len : size - 1;

	if (n)
		memcpy(dst, s.data, n);
	dst[n] = '\0';
	return n == s.len;
}

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

bool str_is_visible_ascii(struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		if (s.data[i] < '!' || s.data[i] > '~')
			return false;
	}
	return s.len > 0;
}

struct str str_trim(struct str s)
{
	while (s.len && is_space(s.data[0])) {
		s.data++;
		s.len--;
	}
	while (s.len && is_space(s.data[s.len - 1]))
		s.len--;
	return s;
}

struct str str_split(struct str *rest, char sep)
{
	const char *p = rest->len ? memchr(rest->data, sep, rest->len) : NULL;
	struct str head = *rest;

	if (!p) {
		*rest = (struct str){ 0 };
		return head;
	}
	head.len = (size_t)(p - rest->data);
	rest->len -= head.len + 1;
	rest->data = p + 1;
	return head;
}

bool str_to_i64(struct str s, int64_t *out)
{
	char tmp[32];
	char *end;
	long long v;

	if (s.len == 0 || !str_copy(tmp, sizeof(tmp), s))
		return false;
	if (tmp[0] != '-' && (tmp[0] < '0' || tmp[0] > '9'))
		return false;
	errno = 0;
	v = strtoll(tmp, &end, 10);
	if (errno || end != tmp + s.len)
		return false;
	*out = v;
	return true;
}

bool str_to_double(struct str s, double *out)
{
	char tmp[64];
	char *end;
	double v;

	if (s.len == 0 || !str_copy(tmp, sizeof(tmp), s))
		return false;
	if (strspn(tmp, "0123456789.-+eE") != s.len)
		return false;
	errno = 0;
	v = strtod(tmp, &end);
	if (errno || end != tmp + s.len)
		return false;
	*out = v;
	return true;
}

static size_t utf8_continuation_len(unsigned char c)
{
	if (c >= 0xc2 && c <= 0xdf)
		return 1;
	if (c >= 0xe0 && c <= 0xef)
		return 2;
	if (c >= 0xf0 && c <= 0xf4)
		return 3;
	return 0;
}

bool str_is_utf8(struct str s)
{
	const unsigned char *p = (const unsigned char *)s.data;
	size_t i = 0;

	while (i < s.len) {
		size_t continuation_len;

		if (p[i] < 0x80) {
			i++;
			continue;
		}
		continuation_len = utf8_continuation_len(p[i]);
		if (!continuation_len || continuation_len >= s.len - i)
			return false;
		if ((p[i] == 0xe0 && p[i + 1] < 0xa0) || (p[i] == 0xed && p[i + 1] > 0x9f) ||
		    (p[i] == 0xf0 && p[i + 1] < 0x90) || (p[i] == 0xf4 && p[i + 1] > 0x8f))
			return false;
		for (size_t k = 1; k <= continuation_len; k++) {
			if ((p[i + k] & 0xc0) != 0x80)
				return false;
		}
		i += continuation_len + 1;
	}
	return true;
}

static void buf_reserve(struct buf *b, size_t extra)
{
	size_t need = b->len + extra + 1;
	size_t cap = b->cap ? b->cap : 64;

	if (need <= b->cap)
		return;
	while (cap < need)
		cap *= 2;
	b->data = mem_resize(b->data, cap);
	b->cap = cap;
}

void buf_append(struct buf *b, const void *data, size_t len)
{
	buf_reserve(b, len);
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void buf_append_str(struct buf *b, struct str s)
{
	buf_append(b, s.data, s.len);
}

void buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	buf_reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void buf_consume(struct buf *b, size_t len)
{
	if (len >= b->len) {
		buf_reset(b);
		return;
	}
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
	b->data[b->len] = '\0';
}

struct str buf_str(const struct buf *b)
{
	return (struct str){ .data = b->data, .len = b->len };
}

void buf_reset(struct buf *b)
{
	b->len = 0;
	if (b->data)
		b->data[0] = '\0';
}

void buf_free(struct buf *b)
{
	free(b->data);
	*b = (struct buf){ 0 };
}
