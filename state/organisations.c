#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/state/organisations.h"

/* Size of a key's hash in bytes: too large to find a second key with the same hash. */
#define KEY_HASH_SIZE crypto_generichash_BYTES_MIN

struct organisation_entry {
	struct organisation o;
	int index;
	UT_hash_handle hh;
	char name[];
};

struct organisation_key {
	unsigned char hash[KEY_HASH_SIZE];
	const struct organisation_entry *owner;
	UT_hash_handle hh;
};

/**
 * struct organisations - see organisations.h
 * @refs: atomic, since versions of the configuration that share the table end on any thread
 * @by_tag: owns the entries
 * @entries: by index
 */
struct organisations {
	int refs;
	struct organisation_entry *by_tag;
	struct organisation_key *by_hash;
	struct organisation_entry **entries;
	int count;
	int capacity;
};

/*
 * Secret of this process for the hashes of keys: hashes in a memory image can't be looked up in a
 * list of hashes of common keys.
 */
static unsigned char secret[crypto_generichash_KEYBYTES];
static pthread_once_t secret_once = PTHREAD_ONCE_INIT;

static void secret_init(void)
{
	randombytes_buf(secret, sizeof(secret));
}

static void hash_key(struct str key, unsigned char out[KEY_HASH_SIZE])
{
	crypto_generichash(out, KEY_HASH_SIZE, (const unsigned char *)key.data, key.len, secret,
			   sizeof(secret));
}

struct organisations *organisations_create(void)
{
	struct organisations *t = mem_zalloc(sizeof(*t));

	pthread_once(&secret_once, secret_init);
	t->refs = 1;
	return t;
}

struct organisations *organisations_get(struct organisations *t)
{
	if (t)
		__atomic_add_fetch(&t->refs, 1, __ATOMIC_RELAXED);
	return t;
}

void organisations_destroy(struct organisations *t)
{
	struct organisation_key *k, *next;

	if (!t || __atomic_sub_fetch(&t->refs, 1, __ATOMIC_ACQ_REL))
		return;
	k = t->by_hash;
	HASH_CLEAR(hh, t->by_hash);
	for (; k; k = next) {
		next = k->hh.next;
		free(k);
	}
	HASH_CLEAR(hh, t->by_tag);
	for (int i = 0; i < t->count; i++)
		free(t->entries[i]);
	free(t->entries);
	free(t);
}

static struct organisation_entry *find_by_tag(const struct organisations *t, uint64_t tag)
{
	struct organisation_entry *e;

	HASH_FIND(hh, t->by_tag, &tag, sizeof(tag), e);
	return e;
}

int organisations_add(struct organisations *t, struct str name, int priority, double weight)
{
	struct organisation_entry *e;
	uint64_t seed = 0;
	uint64_t tag;

	if (!name.len || name.len >= ORGANISATION_NAME_MAX)
		return -1;
	/* Another name with the same hash moves this one to the next seed. */
	while ((e = find_by_tag(t, tag = hash_str(name, seed++)))) {
		if (str_eq_cstr(name, e->o.name))
			return e->index;
	}
	e = mem_zalloc(sizeof(*e) + name.len + 1);
	e->o = (struct organisation){
		.name = e->name, .tag = tag, .priority = priority, .weight = weight
	};
	str_copy(e->name, name.len + 1, name);
	e->index = t->count;
	if (t->count == t->capacity) {
		t->capacity = t->capacity ? 2 * t->capacity : 16;
		t->entries = mem_resize(t->entries,
					sizeof(struct organisation_entry *) * (size_t)t->capacity);
	}
	t->entries[t->count++] = e;
	HASH_ADD(hh, t->by_tag, o.tag, sizeof(e->o.tag), e);
	return e->index;
}

bool organisations_add_key(struct organisations *t, int organisation, struct str key)
{
	struct organisation_key *k;
	unsigned char hash[KEY_HASH_SIZE];

	if (!key.len || organisation < 0 || organisation >= t->count)
		return false;
	hash_key(key, hash);
	HASH_FIND(hh, t->by_hash, hash, sizeof(hash), k);
	if (k)
		return k->owner->index == organisation;
	k = mem_zalloc(sizeof(*k));
	memcpy(k->hash, hash, sizeof(hash));
	k->owner = t->entries[organisation];
	HASH_ADD(hh, t->by_hash, hash, sizeof(k->hash), k);
	return true;
}

int organisations_count(const struct organisations *t)
{
	return t->count;
}

const struct organisation *organisations_at(const struct organisations *t, int index)
{
	return index >= 0 && index < t->count ? &t->entries[index]->o : NULL;
}

const struct organisation *organisations_by_key(const struct organisations *t, struct str key)
{
	struct organisation_key *k;
	unsigned char hash[KEY_HASH_SIZE];

	if (!key.len)
		return NULL;
	hash_key(key, hash);
	HASH_FIND(hh, t->by_hash, hash, sizeof(hash), k);
	return k ? &k->owner->o : NULL;
}

const struct organisation *organisations_by_tag(const struct organisations *t, uint64_t tag)
{
	struct organisation_entry *e = find_by_tag(t, tag);

	return e ? &e->o : NULL;
}

struct organisations_size organisations_size(const struct organisations *t)
{
	struct organisations_size size = { .bytes = sizeof(*t) };

	size.bytes += (size_t)t->capacity * sizeof(struct organisation_entry *);
	for (int i = 0; i < t->count; i++)
		size.bytes += sizeof(*t->entries[i]) + strlen(t->entries[i]->name) + 1;
	size.bytes += HASH_COUNT(t->by_hash) * sizeof(*t->by_hash);
	size.bytes += HASH_OVERHEAD(hh, t->by_tag) - HASH_COUNT(t->by_tag) * sizeof(UT_hash_handle);
	if (!t->by_hash)
		return size;
	size.bytes +=
		HASH_OVERHEAD(hh, t->by_hash) - HASH_COUNT(t->by_hash) * sizeof(UT_hash_handle);
	for (unsigned int i = 0; i < t->by_hash->hh.tbl->num_buckets; i++) {
		int count = (int)t->by_hash->hh.tbl->buckets[i].count;

		if (count > size.comparisons_max)
			size.comparisons_max = count;
	}
	return size;
}
