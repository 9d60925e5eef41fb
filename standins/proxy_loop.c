#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisgate/standins/common.h"
#include "ibisgate/standins/proxy.h"

#define EVENTS_MAX 64
#define LISTEN_BACKLOG 256
#define IDLE_WAIT_US 1000000
#define DOWN_CHECK_INTERVAL_US 100000

int proxy_init(struct proxy *p)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = &p->wake };

	pthread_mutex_init(&p->lock, NULL);
	p->wake.kind = WATCH_WAKE;
	p->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (p->epoll_fd < 0 || p->wake_fd < 0)
		return -1;
	return epoll_ctl(p->epoll_fd, EPOLL_CTL_ADD, p->wake_fd, &ev);
}

void proxy_wake(struct proxy *p)
{
	uint64_t one = 1;

	if (write(p->wake_fd, &one, sizeof(one)) < 0)
		return;
}

bool proxy_target_parse(struct str s, struct sockaddr_in *out)
{
	struct str ip = str_split(&s, ':');
	char text[INET_ADDRSTRLEN];
	int64_t port;

	*out = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!str_copy(text, sizeof(text), ip) || inet_pton(AF_INET, text, &out->sin_addr) != 1)
		return false;
	if (!str_to_i64(s, &port) || port < 1 || port > 65535)
		return false;
	out->sin_port = htons((uint16_t)port);
	return true;
}

static int port_bind(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET, .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int route_start_listening(struct proxy *p, struct route *r)
{
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = &r->watch };

	if (r->listen_fd >= 0 || r->is_target_down || r->mode == PROXY_CUT)
		return 0;
	r->listen_fd = port_bind(r->port);
	if (r->listen_fd < 0)
		return -1;
	if (listen(r->listen_fd, LISTEN_BACKLOG) != 0) {
		close(r->listen_fd);
		r->listen_fd = -1;
		return -1;
	}
	return epoll_ctl(p->epoll_fd, EPOLL_CTL_ADD, r->listen_fd, &ev);
}

static void route_stop_listening(struct route *r)
{
	if (r->listen_fd >= 0)
		close(r->listen_fd);
	r->listen_fd = -1;
}

static bool target_refuses(const struct route *r)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	bool refused = false;

	if (fd < 0)
		return false;
	/* On loopback, connect() reports a refusal at once, even on a non-blocking socket. */
	if (connect(fd, (const struct sockaddr *)&r->target, sizeof(r->target)) != 0)
		refused = errno == ECONNREFUSED;
	close(fd);
	return refused;
}

void proxy_target_check(struct proxy *p, struct route *r)
{
	r->is_target_down = target_refuses(r);
	if (r->is_target_down)
		route_stop_listening(r);
	else
		route_start_listening(p, r);
}

/* Checks the targets that are down. Return: whether any target is still down. */
static bool down_targets_check(struct proxy *p)
{
	int64_t now = mono_now_us();
	bool any_down = false;

	for (struct route *r = p->routes; r; r = r->next) {
		if (r->is_target_down && now - p->targets_checked_us >= DOWN_CHECK_INTERVAL_US)
			proxy_target_check(p, r);
		any_down |= r->is_target_down;
	}
	if (now - p->targets_checked_us >= DOWN_CHECK_INTERVAL_US)
		p->targets_checked_us = now;
	return any_down;
}

static struct route *route_create(struct proxy *p, struct str name)
{
	struct route *r = mem_zalloc(sizeof(*r));
	struct sockaddr_in bound = { 0 };
	socklen_t len = sizeof(bound);

	r->listen_fd = -1;
	r->watch = (struct watch){ .kind = WATCH_LISTEN, .route = r };
	r->reserved_port_fd = port_bind(0);
	if (r->reserved_port_fd < 0 || !str_copy(r->name, sizeof(r->name), name))
		goto fail;
	getsockname(r->reserved_port_fd, (struct sockaddr *)&bound, &len);
	r->port = ntohs(bound.sin_port);
	if (route_start_listening(p, r) != 0)
		goto fail;
	r->next = p->routes;
	p->routes = r;
	return r;
fail:
	route_stop_listening(r);
	if (r->reserved_port_fd >= 0)
		close(r->reserved_port_fd);
	free(r);
	return NULL;
}

int proxy_route_set(struct proxy *p, struct str name, const struct sockaddr_in *target)
{
	struct route *r;
	int port = -1;

	pthread_mutex_lock(&p->lock);
	r = p->routes;
	while (r && !str_eq_cstr(name, r->name))
		r = r->next;
	if (!r)
		r = route_create(p, name);
	if (r) {
		r->target = *target;
		if (r->is_target_down)
			proxy_target_check(p, r);
		port = r->port;
	}
	pthread_mutex_unlock(&p->lock);
	return port;
}

static void route_apply_fault(struct proxy *p, struct route *r, const struct proxy_fault *f)
{
	struct conn *next;

	for (struct conn *c = p->conns; c; c = next) {
		next = c->next;
		if (c->route == r)
			conn_apply_fault(p, c, f);
	}
	if (f->existing_only)
		return;
	if (f->delay_us >= 0)
		r->delay_us = f->delay_us;
	if (f->mode < 0)
		return;
	r->mode = (enum proxy_mode)f->mode;
	if (r->mode == PROXY_CUT)
		route_stop_listening(r);
	else
		route_start_listening(p, r);
}

int proxy_fault_set(struct proxy *p, const struct proxy_fault *f)
{
	int matched = 0;

	pthread_mutex_lock(&p->lock);
	for (struct route *r = p->routes; r; r = r->next) {
		if (strcmp(f->route, "*") != 0 && strcmp(f->route, r->name) != 0)
			continue;
		route_apply_fault(p, r, f);
		matched++;
	}
	pthread_mutex_unlock(&p->lock);
	proxy_wake(p);
	return matched;
}

static void event_dispatch(struct proxy *p, const struct epoll_event *ev)
{
	const struct watch *w = ev->data.ptr;
	uint64_t count;

	switch (w->kind) {
	case WATCH_WAKE:
		if (read(p->wake_fd, &count, sizeof(count)) < 0)
			return;
		break;
	case WATCH_LISTEN:
		if (w->route->listen_fd >= 0)
			conn_accept(p, w->route);
		break;
	case WATCH_CONN:
		conn_event(p, w->conn, w->side, ev->events);
		break;
	}
}

static void closed_conns_free(struct proxy *p)
{
	while (p->closed_conns) {
		struct conn *c = p->closed_conns;

		p->closed_conns = c->next;
		free(c);
	}
}

/* Return: time at which the next delayed segment of any connection is due. */
static int64_t conns_flush_delayed(struct proxy *p)
{
	int64_t now = mono_now_us();
	int64_t next_due = now + IDLE_WAIT_US;
	struct conn *next;

	for (struct conn *c = p->conns; c; c = next) {
		int64_t due;

		next = c->next;
		if (!c->head[SIDE_CLIENT] && !c->head[SIDE_TARGET])
			continue;
		due = conn_flush(p, c, now);
		if (due < next_due)
			next_due = due;
	}
	return next_due;
}

void *proxy_thread_run(void *proxy)
{
	struct proxy *p = proxy;
	struct epoll_event events[EVENTS_MAX];

	while (!p->stopping) {
		int64_t wait_us;
		struct timespec ts;
		int n;

		pthread_mutex_lock(&p->lock);
		wait_us = conns_flush_delayed(p) - mono_now_us();
		if (down_targets_check(p) && wait_us > DOWN_CHECK_INTERVAL_US)
			wait_us = DOWN_CHECK_INTERVAL_US;
		closed_conns_free(p);
		pthread_mutex_unlock(&p->lock);
		ts = mono_timespec(wait_us > 0 ? wait_us : 0);
		n = epoll_pwait2(p->epoll_fd, events, EVENTS_MAX, &ts, NULL);
		pthread_mutex_lock(&p->lock);
		for (int i = 0; i < n; i++)
			event_dispatch(p, &events[i]);
		pthread_mutex_unlock(&p->lock);
	}
	return NULL;
}
