#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisgate/standins/common.h"
#include "ibisgate/standins/proxy.h"

#define READ_MAX_BYTES 65536
/* The proxy stops reading when this much is queued, so that the sender sees back pressure. */
#define QUEUE_MAX_BYTES (1024 * 1024)

static enum proxy_side side_opposite(enum proxy_side side)
{
	return side == SIDE_CLIENT ? SIDE_TARGET : SIDE_CLIENT;
}

static bool mode_discards_from(enum proxy_mode mode, enum proxy_side from)
{
	switch (mode) {
	case PROXY_SILENT:
		return true;
	case PROXY_SILENT_TO_TARGET:
		return from == SIDE_CLIENT;
	case PROXY_SILENT_TO_CLIENT:
		return from == SIDE_TARGET;
	case PROXY_PASS:
	case PROXY_CUT:
	case PROXY_DROP_REPLIES:
		break;
	}
	return false;
}

/*
 * A direction never resumes after data was discarded: TCP would not deliver later bytes without
 * the earlier ones.
 */
static bool conn_discards_from(const struct conn *c, enum proxy_side from)
{
	return c->discarded[from] || mode_discards_from(c->mode, from);
}

static void queue_clear(struct conn *c, enum proxy_side dir)
{
	while (c->head[dir]) {
		struct segment *s = c->head[dir];

		c->head[dir] = s->next;
		free(s);
	}
	c->tail[dir] = &c->head[dir];
	c->queued_bytes[dir] = 0;
}

static void queue_push(struct conn *c, enum proxy_side dir, const char *data, size_t len)
{
	struct segment *s = mem_alloc(sizeof(*s) + len);

	s->next = NULL;
	s->release_us = mono_now_us() + c->delay_us;
	s->len = len;
	s->off = 0;
	if (len)
		memcpy(s->data, data, len);
	*c->tail[dir] = s;
	c->tail[dir] = &s->next;
	c->queued_bytes[dir] += len;
}

static void conn_unregister(struct proxy *p, struct conn *c, enum proxy_side side)
{
	if (c->registered[side])
		epoll_ctl(p->epoll_fd, EPOLL_CTL_DEL, c->fds[side], NULL);
	c->registered[side] = false;
}

static void conn_update_interest(struct proxy *p, struct conn *c, enum proxy_side side)
{
	struct epoll_event ev = { .data.ptr = &c->watches[side] };

	if (c->closed || !c->registered[side])
		return;
	if (!c->eof[side] && c->queued_bytes[side] < QUEUE_MAX_BYTES)
		ev.events |= EPOLLIN;
	if (c->write_blocked[side] || (side == SIDE_TARGET && !c->connected))
		ev.events |= EPOLLOUT;
	if (ev.events == c->interest[side])
		return;
	c->interest[side] = ev.events;
	epoll_ctl(p->epoll_fd, EPOLL_CTL_MOD, c->fds[side], &ev);
}

void conn_close(struct proxy *p, struct conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	for (enum proxy_side side = SIDE_CLIENT; side < SIDE_COUNT; side++) {
		conn_unregister(p, c, side);
		close(c->fds[side]);
		queue_clear(c, side);
	}
	for (struct conn **at = &p->conns; *at; at = &(*at)->next) {
		if (*at == c) {
			*at = c->next;
			break;
		}
	}
	/*
	 * Later events of the current batch may still point to this connection, so the event loop
	 * frees it after the batch.
	 */
	c->next = p->closed_conns;
	p->closed_conns = c;
}

static bool segment_send(struct proxy *p, struct conn *c, enum proxy_side dir)
{
	struct segment *s = c->head[dir];
	enum proxy_side to = side_opposite(dir);
	ssize_t n;

	if (!s->len) {
		shutdown(c->fds[to], SHUT_WR);
		c->end_sent[dir] = true;
	} else {
		n = send(c->fds[to], s->data + s->off, s->len - s->off, MSG_NOSIGNAL);
		if (n < 0 && errno == EAGAIN) {
			c->write_blocked[to] = true;
			return false;
		}
		if (n < 0) {
			conn_close(p, c);
			return false;
		}
		s->off += (size_t)n;
		c->queued_bytes[dir] -= (size_t)n;
		if (s->off < s->len)
			return true;
	}
	c->head[dir] = s->next;
	if (!s->next)
		c->tail[dir] = &c->head[dir];
	free(s);
	return true;
}

int64_t conn_flush(struct proxy *p, struct conn *c, int64_t now)
{
	int64_t next = INT64_MAX;

	for (enum proxy_side dir = SIDE_CLIENT; dir < SIDE_COUNT; dir++) {
		if (dir == SIDE_CLIENT && !c->connected)
			continue;
		while (!c->closed && c->head[dir] && !c->write_blocked[side_opposite(dir)] &&
		       c->head[dir]->release_us <= now) {
			if (!segment_send(p, c, dir))
				break;
		}
		if (!c->closed && c->head[dir] && !c->write_blocked[side_opposite(dir)] &&
		    c->head[dir]->release_us < next)
			next = c->head[dir]->release_us;
	}
	if (!c->closed && c->end_sent[SIDE_CLIENT] && c->end_sent[SIDE_TARGET])
		conn_close(p, c);
	conn_update_interest(p, c, SIDE_CLIENT);
	conn_update_interest(p, c, SIDE_TARGET);
	return next;
}

static void conn_end_of_stream(struct proxy *p, struct conn *c, enum proxy_side side)
{
	c->eof[side] = true;
	/*
	 * The target is checked before the end is passed to the client: if the target is down, the
	 * client's next connection must be refused.
	 */
	if (side == SIDE_TARGET)
		proxy_target_check(p, c->route);
	if (!conn_discards_from(c, side))
		queue_push(c, side, NULL, 0);
	else if (c->eof[side_opposite(side)])
		conn_close(p, c);
	else
		c->discarded[side] = true;
}

static void conn_read(struct proxy *p, struct conn *c, enum proxy_side side)
{
	static char data[READ_MAX_BYTES];
	ssize_t n = recv(c->fds[side], data, sizeof(data), 0);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		conn_end_of_stream(p, c, side);
		return;
	}
	if (conn_discards_from(c, side)) {
		c->discarded[side] = true;
		return;
	}
	if (c->mode == PROXY_DROP_REPLIES && side == SIDE_TARGET) {
		conn_close(p, c);
		return;
	}
	queue_push(c, side, data, (size_t)n);
}

static void conn_hung_up(struct proxy *p, struct conn *c, enum proxy_side side)
{
	bool is_silent = conn_discards_from(c, side) || conn_discards_from(c, side_opposite(side));

	/* The event is level-triggered and would repeat for as long as the socket is registered. */
	conn_unregister(p, c, side);
	if (!c->eof[side])
		conn_end_of_stream(p, c, side);
	if (!is_silent && !c->head[side])
		conn_close(p, c);
}

static void conn_connect_done(struct proxy *p, struct conn *c)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(c->fds[SIDE_TARGET], SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		proxy_target_check(p, c->route);
		conn_close(p, c);
	} else {
		c->connected = true;
	}
}

void conn_event(struct proxy *p, struct conn *c, enum proxy_side side, uint32_t events)
{
	if (c->closed)
		return;
	if (side == SIDE_TARGET && !c->connected && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
		conn_connect_done(p, c);
	if (events & EPOLLOUT)
		c->write_blocked[side] = false;
	if (!c->closed && (events & EPOLLIN))
		conn_read(p, c, side);
	else if (!c->closed && (events & (EPOLLHUP | EPOLLERR)))
		conn_hung_up(p, c, side);
	if (!c->closed)
		conn_flush(p, c, mono_now_us());
}

void conn_apply_fault(struct proxy *p, struct conn *c, const struct proxy_fault *f)
{
	if (f->delay_us >= 0)
		c->delay_us = f->delay_us;
	if (f->mode < 0)
		return;
	c->mode = (enum proxy_mode)f->mode;
	if (c->mode == PROXY_CUT) {
		conn_close(p, c);
		return;
	}
	for (enum proxy_side dir = SIDE_CLIENT; dir < SIDE_COUNT; dir++) {
		if (!mode_discards_from(c->mode, dir) || !c->head[dir])
			continue;
		queue_clear(c, dir);
		c->discarded[dir] = true;
		conn_update_interest(p, c, dir);
	}
}

static void conn_start(struct proxy *p, struct route *r, int client, int target)
{
	struct conn *c = mem_zalloc(sizeof(*c));
	int one = 1;

	c->route = r;
	c->mode = r->mode;
	c->delay_us = r->delay_us;
	c->fds[SIDE_CLIENT] = client;
	c->fds[SIDE_TARGET] = target;
	c->next = p->conns;
	p->conns = c;
	r->accepted++;
	for (enum proxy_side side = SIDE_CLIENT; side < SIDE_COUNT; side++) {
		struct epoll_event ev = { .data.ptr = &c->watches[side] };

		setsockopt(c->fds[side], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->watches[side] = (struct watch){ .kind = WATCH_CONN, .conn = c, .side = side };
		c->tail[side] = &c->head[side];
		epoll_ctl(p->epoll_fd, EPOLL_CTL_ADD, c->fds[side], &ev);
		c->registered[side] = true;
		conn_update_interest(p, c, side);
	}
}

void conn_accept(struct proxy *p, struct route *r)
{
	int client = accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;

	if (client < 0)
		return;
	target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (target < 0)
		goto fail;
	if (connect(target, (struct sockaddr *)&r->target, sizeof(r->target)) != 0 &&
	    errno != EINPROGRESS)
		goto fail;
	conn_start(p, r, client, target);
	return;
fail:
	proxy_target_check(p, r);
	close(client);
	if (target >= 0)
		close(target);
}
