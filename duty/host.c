#include "ibisgate/duty/host.h"
#include "ibisgate/common/error.h"

/*
 * Connect timeout for the store and maximum silence, in milliseconds; a healthy store responds
 * within 4 ms.
 */
#define STORE_CONNECT_MS 700
#define STORE_SILENCE_MS 1500

/* Maximum size of an answer in bytes: a page of rows. */
#define STORE_ANSWER_MAX_BYTES (4 << 20)

bool duty_host_set_store(struct duty_host *h, const char *url)
{
	struct str text = str_from(url);
	struct str scheme = STR_LIT("http://");

	if (str_starts_with(text, scheme)) {
		text.data += scheme.len;
		text.len -= scheme.len;
	}
	str_copy(h->store_name, sizeof(h->store_name), text);
	return http_address_parse(text, &h->store_address);
}

bool duty_host_set_api(struct duty_host *h, const char *address)
{
	str_copy(h->api_name, sizeof(h->api_name), str_from(address));
	return http_address_parse(str_from(address), &h->api_address);
}

struct http_collect *duty_host_call_store(const struct duty_host *h, struct str request,
					  void (*done)(void *ctx, const struct http_result *r),
					  void *ctx)
{
	return http_collect_start(h->store,
				  &(struct http_exchange_spec){
					  .to = h->store_address,
					  .request = request,
					  .connect_ms = STORE_CONNECT_MS,
					  .read_timeout_ms = STORE_SILENCE_MS,
					  .body_max_bytes = STORE_ANSWER_MAX_BYTES,
				  },
				  done, ctx);
}

enum row_write row_write_result(const struct duty_host *h, const struct http_result *r,
				int64_t *version)
{
	bool is_settled = r->status == 200 || r->status == 412;
	int64_t era = is_settled ? h->answer_era(h->ctx, r) : 0;
	struct error err = { 0 };

	if (era < 0)
		return ROW_WRITE_UNCERTAIN;
	if (r->status == 200 && store_put_decode(r->body, era, version, &err) == 0)
		return ROW_WRITE_OK;
	if (r->status == 412)
		return ROW_WRITE_CONFLICT;
	if (r->status == 429 || r->status == 503 ||
	    (!r->status && http_failure_is_unsent(r->failure)))
		return ROW_WRITE_UNSENT;
	return ROW_WRITE_UNCERTAIN;
}

bool row_read_result(const struct duty_host *h, const struct http_result *r,
		     struct store_rows *rows)
{
	struct error err = { 0 };
	int64_t era;

	if (r->status != 200)
		return false;
	era = h->answer_era(h->ctx, r);
	return era >= 0 && store_rows_decode(r->body, era, rows, &err) == 0;
}
