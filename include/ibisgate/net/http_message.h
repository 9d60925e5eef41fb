#ifndef IBISGATE_NET_HTTP_MESSAGE_H
#define IBISGATE_NET_HTTP_MESSAGE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Header fields of one message; more are refused. */
#define HTTP_FIELDS_MAX 100

struct http_field {
	uint32_t name;
	uint32_t name_len;
	uint32_t value;
	uint32_t value_len;
};

/**
 * struct http_head - start line and header fields of one message
 * @text: bytes that the fields point into
 * @target: request target as sent; empty in a response
 * @status: status code of a response
 * @keep_alive: the connection may carry another message after this one
 */
struct http_head {
	struct buf text;
	struct http_field fields[HTTP_FIELDS_MAX];
	int count;
	struct buf target;
	enum http_method method;
	int status;
	bool keep_alive;
};

struct str http_field_name(const struct http_head *h, int i);
struct str http_field_value(const struct http_head *h, int i);

/** http_head_find - value of the first field @name (any case); false when there is none */
bool http_head_find(const struct http_head *h, const char *name, struct str *value);

/** http_head_i64 - whole number in field @name; @fallback when absent or malformed */
int64_t http_head_i64(const struct http_head *h, const char *name, int64_t fallback);

/**
 * http_field_is_hop - whether field @i concerns one connection only (RFC 9110, 7.6.1)
 *
 * True also for the fields that the message's Connection field names, and for Content-Length:
 * whoever passes the message on frames it anew.
 */
bool http_field_is_hop(const struct http_head *h, int i);

/** str_ieq - equal without regard to ASCII case */
bool str_ieq(struct str a, const char *b);

enum http_side {
	HTTP_SIDE_REQUEST,
	HTTP_SIDE_RESPONSE,
};

/**
 * enum http_fault - why a message was refused
 * @HTTP_FAULT_FRAMING: conflicting or unknown framing, as used to smuggle requests
 */
enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_MALFORMED,
	HTTP_FAULT_FRAMING,
	HTTP_FAULT_HEAD_SIZE,
};

/**
 * struct http_reader_ops - receiver of a message
 * @on_head: 0 to go on, 1 when no body follows whatever the head says (response to HEAD)
 * @on_body: next bytes of the body, without chunk framing
 * @on_end: the message is complete
 */
struct http_reader_ops {
	int (*on_head)(void *ctx, const struct http_head *head);
	void (*on_body)(void *ctx, struct str bytes);
	void (*on_end)(void *ctx);
};

/** struct http_reader - incremental HTTP/1.1 parser over http_parser */
struct http_reader {
	http_parser parser;
	struct http_head head;
	const struct http_reader_ops *ops;
	void *ctx;
	size_t head_max;
	size_t head_bytes;
	bool in_value;
	bool begun;
	bool ended;
	enum http_fault fault;
};

/** http_reader_init - @head_max: greatest size of start line and fields in bytes; 0 for 64 KiB */
void http_reader_init(struct http_reader *r, enum http_side side, size_t head_max,
		      const struct http_reader_ops *ops, void *ctx);
void http_reader_free(struct http_reader *r);

/**
 * http_reader_feed - parse up to the end of one message
 *
 * Return: bytes taken, fewer than given when the message ended; -1 when @fault is set. Call
 * http_reader_next() before the bytes of the next message.
 */
int64_t http_reader_feed(struct http_reader *r, struct str bytes);
void http_reader_next(struct http_reader *r);

/** http_reader_eof - the peer has closed; true if that ended a message without a length */
bool http_reader_eof(struct http_reader *r);

#endif
