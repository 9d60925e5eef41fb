#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "ibisgate/state/routing_table.h"

struct routing_table *routing_table_create(int64_t version, int rules, int services)
{
	struct routing_table *t = mem_zalloc(sizeof(*t));

	t->refs = 1;
	t->version = version;
	t->rules = mem_zalloc(sizeof(*t->rules) * (size_t)(rules + 1));
	t->services = mem_zalloc(sizeof(*t->services) * (size_t)(services + 1));
	return t;
}

struct routing_table *routing_table_get(struct routing_table *t)
{
	if (t)
		t->refs++;
	return t;
}

void routing_table_put(struct routing_table *t)
{
	if (!t || --t->refs)
		return;
	for (int i = 0; i < t->rule_count; i++) {
		buf_free(&t->rules[i].name);
		buf_free(&t->rules[i].host);
		buf_free(&t->rules[i].prefix);
		free(t->rules[i].targets);
	}
	for (int i = 0; i < t->service_count; i++)
		buf_free(&t->services[i].name);
	free(t->rules);
	free(t->services);
	organisations_destroy(t->organisations);
	free(t);
}

int routing_table_service(const struct routing_table *t, struct str name)
{
	for (int i = 0; i < t->service_count; i++) {
		if (str_eq(name, buf_str(&t->services[i].name)))
			return i;
	}
	return -1;
}

const struct routing_rule *routing_table_match(const struct routing_table *t, struct str host,
					       struct str target)
{
	const struct routing_rule *best = NULL;
	size_t best_len = 0;

	host = str_split(&host, ':');
	target = str_split(&target, '?');
	for (int i = 0; i < t->rule_count; i++) {
		const struct routing_rule *r = &t->rules[i];
		struct str prefix = buf_str(&r->prefix);

		if (prefix.len < best_len || (best && prefix.len == best_len))
			continue;
		if (r->host.len != host.len || strncasecmp(r->host.data, host.data, host.len) != 0)
			continue;
		if (!str_starts_with(target, prefix))
			continue;
		best = r;
		best_len = prefix.len;
	}
	return best;
}

int routing_rule_target(const struct routing_rule *r, uint64_t hash)
{
	uint64_t total = 0;
	uint64_t at;

	for (int i = 0; i < r->target_count; i++)
		total += (uint64_t)r->targets[i].weight;
	if (!total)
		return r->target_count ? r->targets[0].service : -1;
	at = hash % total;
	for (int i = 0; i < r->target_count; i++) {
		if (at < (uint64_t)r->targets[i].weight)
			return r->targets[i].service;
		at -= (uint64_t)r->targets[i].weight;
	}
	return -1;
}
