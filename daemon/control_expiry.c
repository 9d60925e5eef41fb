#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"

/* One page per period costs each lease holder 0.2 reads/s of the table's read budget. */
#define EXPIRY_PERIOD_MS 5000
#define EXPIRY_PAGE 200
#define EXPIRY_PREFIX "claim/"

static int64_t claim_keep_ms(struct control *c)
{
	struct config_scope scope = { .dc = c->settings->instance.dc, .wall_ms = clock_wall_ms() };
	int64_t ms;

	rcu_read_lock();
	ms = config_i64(rcu_dereference(c->gate->config), "claim.keep-ms", &scope);
	rcu_read_unlock();
	return ms;
}

/*
 * Deletes the expired rows in the page after @cursor and advances it; "" is the first page. A row
 * that changed since it was read is kept, because the deletion is conditional on its version.
 */
static void claims_expire_page(struct control *c, char *cursor, size_t size)
{
	int64_t before = clock_wall_ms() - claim_keep_ms(c);
	struct table_row *rows = NULL;
	struct error err = { 0 };
	int count = 0;
	int deleted = 0;
	bool more = false;

	if (platform_scan(c->gate->platform, EXPIRY_PREFIX, cursor, EXPIRY_PAGE, &rows, &count,
			  &more, &err))
		return;
	cursor[0] = '\0';
	if (more && count)
		str_copy(cursor, size, str_from(rows[count - 1].key));
	for (int i = 0; i < count; i++) {
		if (json_get_i64(rows[i].value, "at_ms", INT64_MAX) < before &&
		    platform_delete(c->gate->platform, rows[i].key, rows[i].version, &err) == 0)
			deleted++;
		table_row_clear(&rows[i]);
	}
	free(rows);
	if (deleted)
		log_info("claims-expired", "deleted=%d", deleted);
}

int control_expiry_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	char cursor[sizeof(((struct table_row *)0)->key)] = "";
	int64_t fencing;

	while (!child_sleep_ms(EXPIRY_PERIOD_MS)) {
		if (control_lease_is_held(c, c->settings->instance.dc, &fencing))
			claims_expire_page(c, cursor, sizeof(cursor));
		child_account_cpu();
	}
	return 0;
}
