#ifndef NET_CODEC_IMPL_H
#define NET_CODEC_IMPL_H

#include "ibisgate/net/codec.h"

/*
 * Decodes one CBOR item at a time without a stack, so that nesting and declared lengths take no
 * memory. After the first error @failed stays set and all reads return zero values.
 */
struct reader {
	struct str rest;
	bool failed;
};

/* Primitives for messages whose bodies are encoded and decoded in separate files. */
void codec_put_uint(struct buf *b, uint64_t v);
void codec_put_array(struct buf *b, int count);
void codec_put_text(struct buf *b, const char *s);
uint64_t codec_get_uint(struct reader *r, uint64_t max);
int codec_get_count(struct reader *r, int max);
void codec_get_fixed_array(struct reader *r, int size);
void codec_get_text(struct reader *r, char *dst, size_t size);

/* codec_load.c */
void codec_put_loads(struct buf *b, const struct peer_loads *l);
void codec_get_loads(struct reader *r, struct peer_loads *l);

/* codec_report.c */
void codec_put_report(struct buf *b, const struct peer_report *p);
void codec_get_report(struct reader *r, struct peer_report *p);

/* codec_sharing.c */
void codec_put_sharing(struct buf *b, const struct peer_sharing *s);
void codec_get_sharing(struct reader *r, struct peer_sharing *s);

#endif
