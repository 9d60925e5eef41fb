#include <string.h>
#include <strings.h>

#include "ibisgate/net/http_message.h"

/* Default maximum size of a head in bytes; HTTP servers usually allow 8 to 64 KiB. */
#define HEAD_MAX_DEFAULT_BYTES 65536

static const char *const hop_by_hop_fields[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"proxy-authenticate",
	"proxy-authorization",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
};

bool str_eq_nocase(struct str a, const char *b)
{
	return strlen(b) == a.len && strncasecmp(a.data, b, a.len) == 0;
}

struct str http_field_name(const struct http_head *h, int i)
{
	return (struct str){ .data = h->text.data + h->fields[i].name,
			     .len = h->fields[i].name_len };
}

struct str http_field_value(const struct http_head *h, int i)
{
	return (struct str){ .data = h->text.data + h->fields[i].value,
			     .len = h->fields[i].value_len };
}

bool http_head_find(const struct http_head *h, const char *name, struct str *value)
{
	for (int i = 0; i < h->count; i++) {
		if (!str_eq_nocase(http_field_name(h, i), name))
			continue;
		*value = http_field_value(h, i);
		return true;
	}
	return false;
}

int64_t http_head_i64(const struct http_head *h, const char *name, int64_t fallback)
{
	struct str value;
	int64_t n;

	if (!http_head_find(h, name, &value) || !str_to_i64(value, &n))
		return fallback;
	return n;
}

bool http_status_is_valid(int status)
{
	/* No request asks to switch protocols. */
	return status >= 100 && status <= 599 && status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

bool http_status_has_body(int status)
{
	return status >= 200 && status != HTTP_STATUS_NO_CONTENT &&
	       status != HTTP_STATUS_NOT_MODIFIED;
}

static bool connection_field_lists(const struct http_head *h, struct str name)
{
	for (int i = 0; i < h->count; i++) {
		struct str rest = http_field_value(h, i);

		if (!str_eq_nocase(http_field_name(h, i), "connection"))
			continue;
		while (rest.len) {
			struct str part = str_split(&rest, ',');

			while (part.len && part.data[0] == ' ') {
				part.data++;
				part.len--;
			}
			while (part.len && part.data[part.len - 1] == ' ')
				part.len--;
			if (part.len == name.len &&
			    strncasecmp(part.data, name.data, name.len) == 0)
				return true;
		}
	}
	return false;
}

bool http_field_is_hop_by_hop(const struct http_head *h, int i)
{
	struct str name = http_field_name(h, i);

	for (size_t k = 0; k < sizeof(hop_by_hop_fields) / sizeof(hop_by_hop_fields[0]); k++) {
		if (str_eq_nocase(name, hop_by_hop_fields[k]))
			return true;
	}
	return connection_field_lists(h, name);
}

static int reader_fail(struct http_reader *r, enum http_fault fault)
{
	r->fault = fault;
	return -1;
}

static int head_size_add(struct http_reader *r, size_t len)
{
	r->head_bytes += len;
	return r->head_bytes > r->head_max ? reader_fail(r, HTTP_FAULT_HEAD_SIZE) : 0;
}

static int on_begin(http_parser *p)
{
	struct http_reader *r = p->data;

	r->head.count = 0;
	r->head.text.len = 0;
	r->head.target.len = 0;
	r->head_bytes = 0;
	r->in_value = true;
	r->is_in_message = true;
	r->is_complete = false;
	return 0;
}

static int on_target(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	buf_append(&r->head.target, at, len);
	return head_size_add(r, len);
}

static int on_field_name(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;

	if (r->in_value) {
		if (h->count == HTTP_FIELDS_MAX)
			return reader_fail(r, HTTP_FAULT_HEAD_SIZE);
		h->fields[h->count++] = (struct http_field){ .name = (uint32_t)h->text.len };
		r->in_value = false;
	}
	buf_append(&h->text, at, len);
	h->fields[h->count - 1].name_len += (uint32_t)len;
	h->fields[h->count - 1].value = (uint32_t)h->text.len;
	return head_size_add(r, len + 2);
}

static int on_field_value(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;

	if (!h->count)
		return reader_fail(r, HTTP_FAULT_MALFORMED);
	r->in_value = true;
	buf_append(&h->text, at, len);
	h->fields[h->count - 1].value_len += (uint32_t)len;
	return head_size_add(r, len + 2);
}

/*
 * A message with both Content-Length and Transfer-Encoding, with two lengths or with an unknown
 * transfer coding may be parsed differently by two recipients, which allows request smuggling
 * (RFC 9112, 6.3).
 */
static bool framing_is_valid(const struct http_head *h)
{
	int lengths = 0;
	int codings = 0;

	for (int i = 0; i < h->count; i++) {
		struct str name = http_field_name(h, i);

		/* http_parser accepts a space before the colon; RFC 9112, 5.1 forbids it. */
		if (memchr(name.data, ' ', name.len))
			return false;
		if (str_eq_nocase(name, "content-length")) {
			lengths++;
		} else if (str_eq_nocase(name, "transfer-encoding")) {
			codings++;
			if (!str_eq_nocase(http_field_value(h, i), "chunked"))
				return false;
		}
	}
	return lengths + codings <= 1;
}

static int on_headers(http_parser *p)
{
	struct http_reader *r = p->data;
	struct http_head *h = &r->head;

	if (!framing_is_valid(h))
		return reader_fail(r, HTTP_FAULT_FRAMING);
	h->method = (enum http_method)p->method;
	h->status = (int)p->status_code;
	h->keep_alive = http_should_keep_alive(p);
	/* A recipient may ignore the offer of another protocol (RFC 9110, 7.8). */
	if (p->type == HTTP_REQUEST && p->method != HTTP_CONNECT)
		p->upgrade = 0;
	return r->ops->on_head(r->ctx, h);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	r->ops->on_body(r->ctx, (struct str){ .data = at, .len = len });
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	r->is_in_message = false;
	r->is_complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_reader_init(struct http_reader *r, enum http_message_kind side, size_t head_max,
		      const struct http_reader_ops *ops, void *ctx)
{
	memset(r, 0, sizeof(*r));
	http_parser_init(&r->parser, side == HTTP_MESSAGE_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
	r->head_max = head_max ? head_max : HEAD_MAX_DEFAULT_BYTES;
	r->ops = ops;
	r->ctx = ctx;
}

void http_reader_free(struct http_reader *r)
{
	buf_free(&r->head.text);
	buf_free(&r->head.target);
}

int64_t http_reader_feed(struct http_reader *r, struct str bytes)
{
	size_t consumed;

	if (r->is_complete)
		return 0;
	consumed = http_parser_execute(&r->parser, &parser_settings, bytes.data, bytes.len);
	if (r->fault)
		return -1;
	if (r->is_complete) {
		if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED)
			http_parser_pause(&r->parser, 0);
		r->ops->on_end(r->ctx);
		return (int64_t)consumed;
	}
	if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || r->parser.upgrade)
		return reader_fail(r, HTTP_FAULT_MALFORMED);
	return (int64_t)consumed;
}

void http_reader_next(struct http_reader *r)
{
	r->is_complete = false;
	r->is_in_message = false;
}

bool http_reader_is_in_head_request(const struct http_reader *r)
{
	return r->is_in_message && r->parser.method == HTTP_HEAD;
}

bool http_reader_eof(struct http_reader *r)
{
	if (!r->is_in_message)
		return false;
	http_parser_execute(&r->parser, &parser_settings, "", 0);
	if (!r->is_complete)
		return false;
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED)
		http_parser_pause(&r->parser, 0);
	r->ops->on_end(r->ctx);
	return true;
}
