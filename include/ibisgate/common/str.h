#ifndef IBISGATE_COMMON_STR_H
#define IBISGATE_COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct str - read-only view of a byte string with a length
 * @data: first byte; not NUL-terminated in general
 * @len: number of bytes
 *
 * A view doesn't own its bytes. A function that keeps a str copies it with str_dup().
 */
struct str {
	const char *data;
	size_t len;
};

/**
 * struct buf - growable byte buffer; owns its memory
 * @data: contents, followed by a NUL; NULL until the first allocation
 * @len: bytes in use, not counting the NUL
 * @cap: bytes allocated
 */
struct buf {
	char *data;
	size_t len;
	size_t cap;
};

#define STR_LIT(s) ((struct str){ .data = (s), .len = sizeof(s) - 1 })
#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).len, (s).data ? (s).data : ""

/* The process aborts if an allocation fails: an instance out of memory is replaced, not kept. */
void *mem_alloc(size_t size);
void *mem_zalloc(size_t size);
void *mem_resize(void *ptr, size_t size);
char *mem_strdup(const char *s);

struct str str_from(const char *s);
bool str_eq(struct str a, struct str b);
bool str_eq_cstr(struct str a, const char *b);
int str_cmp(struct str a, struct str b);
bool str_starts_with(struct str s, struct str prefix);

/** str_dup - copy of @s as a NUL-terminated C string; the caller frees it */
char *str_dup(struct str s);

/** str_copy - copy @s into @dst of @size bytes, NUL-terminated; false if it was truncated */
bool str_copy(char *dst, size_t size, struct str s);

/** str_is_visible_ascii - whether @s is not empty and has only characters from '!' to '~' */
bool str_is_visible_ascii(struct str s);

/** str_trim - view of @s without leading and trailing ASCII whitespace */
struct str str_trim(struct str s);

/**
 * str_split - remove the part of @rest up to the first @sep
 * @rest: in: text to split; out: text after the separator
 *
 * Return: the part before @sep, or all of @rest when @sep does not occur.
 */
struct str str_split(struct str *rest, char sep);

/** str_to_i64 - parse @s as a decimal integer; false on any other byte and on overflow */
bool str_to_i64(struct str s, int64_t *out);

/** str_to_double - parse @s as a decimal number; false on any other byte */
bool str_to_double(struct str s, double *out);

/** str_is_utf8 - true if @s is well-formed UTF-8 (RFC 3629: no surrogates, no overlong forms) */
bool str_is_utf8(struct str s);

void buf_append(struct buf *b, const void *data, size_t len);
void buf_append_str(struct buf *b, struct str s);
void buf_printf(struct buf *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** buf_consume - remove the first @len bytes */
void buf_consume(struct buf *b, size_t len);
struct str buf_str(const struct buf *b);
void buf_reset(struct buf *b);
void buf_free(struct buf *b);

#endif
