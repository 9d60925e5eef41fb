#include "codec_impl.h"

void codec_put_report(struct buf *b, const struct peer_report *p)
{
	codec_put_array(b, 2);
	codec_put_uint(b, (uint64_t)p->topic);
	codec_put_array(b, p->count);
	for (int i = 0; i < p->count; i++)
		codec_put_uint(b, p->values[i]);
}

void codec_get_report(struct reader *r, struct peer_report *p)
{
	uint64_t topic;
	int count;

	codec_get_fixed_array(r, 2);
	topic = codec_get_uint(r, REPORT_TOPICS - 1);
	if (!topic)
		r->failed = true;
	p->topic = (enum report_topic)topic;
	count = codec_get_count(r, PEER_REPORT_VALUES_MAX);
	for (int i = 0; i < count && !r->failed; i++)
		p->values[i] = codec_get_uint(r, UINT64_MAX);
	p->count = r->failed ? 0 : count;
}
