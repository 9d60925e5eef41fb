#ifndef IBISGATE_NET_HTTP_MESSAGE_H
#define IBISGATE_NET_HTTP_MESSAGE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Maximum number of header fields; a message with more is rejected. */
#define HTTP_FIELDS_MAX 100

/**
 * struct http_field - header field, as offsets into the text of its head
 * @name: offset of the name
 * @value: offset of the value
 */
struct http_field {
	uint32_t name;
	uint32_t name_len;
	uint32_t value;
	uint32_t value_len;
};

/**
 * struct http_head - start line and header fields of a message
 * @text: bytes that @fields refer to
 * @fields: header fields in the order received
 * @count: number of header fields
 * @target: request target as received; empty in a response
 * @method: method of a request
 * @status: status code of a response
 * @keep_alive: the connection can be reused for another message
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

/** http_head_find - get the value of the first field @name, ignoring case; false if absent */
bool http_head_find(const struct http_head *h, const char *name, struct str *value);

/** http_head_i64 - integer value of field @name; @fallback if it is absent or malformed */
int64_t http_head_i64(const struct http_head *h, const char *name, int64_t fallback);

/**
 * http_field_is_hop_by_hop - true if field @i is hop-by-hop (RFC 9110, 7.6.1)
 *
 * Also true for fields listed in the message's Connection field, and for Content-Length, because a
 * relay sets the framing of the forwarded message itself.
 */
bool http_field_is_hop_by_hop(const struct http_head *h, int i);

/** http_status_is_valid - whether a response to a request may have it (RFC 9110, 15) */
bool http_status_is_valid(int status);

/**
 * http_status_has_body - false for the statuses whose responses end with their head, whatever it
 * announces (RFC 9112, 6.3)
 */
bool http_status_has_body(int status);

/** str_eq_nocase - compare, ignoring ASCII case */
bool str_eq_nocase(struct str a, const char *b);

enum http_message_kind {
	HTTP_MESSAGE_REQUEST,
	HTTP_MESSAGE_RESPONSE,
};

/**
 * enum http_fault - why a message was rejected
 * @HTTP_FAULT_MALFORMED: the message is not valid HTTP
 * @HTTP_FAULT_FRAMING: conflicting or unknown framing, as used for request smuggling
 * @HTTP_FAULT_HEAD_SIZE: the head is too large or has more than HTTP_FIELDS_MAX fields
 */
enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_MALFORMED,
	HTTP_FAULT_FRAMING,
	HTTP_FAULT_HEAD_SIZE,
};

/**
 * struct http_reader_ops - callbacks for a message
 * @on_head: start line and header fields are complete; returns 0 to continue, 1 if no body follows
 *           regardless of the header fields (response to HEAD)
 * @on_body: next bytes of the body, without chunked framing
 * @on_end: the message is complete
 */
struct http_reader_ops {
	int (*on_head)(void *ctx, const struct http_head *head);
	void (*on_body)(void *ctx, struct str bytes);
	void (*on_end)(void *ctx);
};

/**
 * struct http_reader - incremental HTTP/1.1 parser based on http_parser
 * @head_max: maximum size of start line and header fields in bytes
 * @head_bytes: size of the start line and header fields received so far
 * @in_value: no field name is being received, so the next bytes of a name start a new field
 * @is_in_message: a message has started and is not complete
 * @is_complete: a message is complete and http_reader_next() has not been called
 */
struct http_reader {
	http_parser parser;
	struct http_head head;
	const struct http_reader_ops *ops;
	void *ctx;
	size_t head_max;
	size_t head_bytes;
	bool in_value;
	bool is_in_message;
	bool is_complete;
	enum http_fault fault;
};

/**
 * http_reader_init - initialise a parser
 * @head_max: maximum size of start line and header fields in bytes; 0 for 64 KiB
 */
void http_reader_init(struct http_reader *r, enum http_message_kind side, size_t head_max,
		      const struct http_reader_ops *ops, void *ctx);
void http_reader_free(struct http_reader *r);

/**
 * http_reader_feed - parse bytes, up to the end of the current message
 *
 * Call http_reader_next() before passing the bytes of the next message.
 *
 * Return: number of bytes consumed, fewer than given if the message ended; -1 if @fault is set.
 */
int64_t http_reader_feed(struct http_reader *r, struct str bytes);
void http_reader_next(struct http_reader *r);

/** http_reader_is_in_head_request - whether a HEAD request is being read, as far as it is known */
bool http_reader_is_in_head_request(const struct http_reader *r);

/** http_reader_eof - handle end of file; true if it completed a message without a length */
bool http_reader_eof(struct http_reader *r);

#endif
