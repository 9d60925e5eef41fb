#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "control.h"
#include "control_sim.h"

#define EVENTS_MAX 256
#define EPOLL_TIMEOUT_MS 50
#define LISTEN_BACKLOG 16

struct sim_workers {
	int *listeners;
	int *ports;
	int count;
	int epoll;
	pthread_t thread;
	_Atomic bool stop;
	_Atomic int64_t bytes;
};

static void epoll_watch(struct sim_workers *s, int fd, bool listener)
{
	struct epoll_event ev = { .events = EPOLLIN };

	ev.data.u64 = (uint64_t)fd << 1 | listener;
	epoll_ctl(s->epoll, EPOLL_CTL_ADD, fd, &ev);
}

static void request_answer(struct sim_workers *s, int fd)
{
	static const char load[] =
		"{\"boot_id\":\"b1\",\"role\":\"mixed\",\"model\":\"M\",\"changing\":false,"
		"\"prefill_backlog\":0,\"decode_seqs\":0,\"decode_slots\":32,"
		"\"prefill_tokens_per_s\":10000.0,\"step_base_us\":10000.0,"
		"\"step_per_seq_us\":200.0,\"kv_token_us\":2.0,\"in_flight\":0}";
	static const char events[] = "{\"boot_id\":\"b1\",\"next\":0,\"events\":[]}";
	char request[4096];
	char reply[1024];
	const char *body;
	ssize_t n = recv(fd, request, sizeof(request) - 1, 0);
	int len;

	if (n <= 0) {
		close(fd);
		return;
	}
	request[n] = '\0';
	body = strncmp(request, "GET /load", 9) == 0 ? load : events;
	len = snprintf(reply, sizeof(reply),
		       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		       "Content-Length: %zu\r\n\r\n%s",
		       strlen(body), body);
	if (send(fd, reply, (size_t)len, MSG_NOSIGNAL) == len)
		s->bytes += n + len;
}

static void *workers_run(void *arg)
{
	struct sim_workers *s = arg;
	struct epoll_event events[EVENTS_MAX];

	while (!s->stop) {
		int n = epoll_wait(s->epoll, events, EVENTS_MAX, EPOLL_TIMEOUT_MS);

		for (int i = 0; i < n; i++) {
			int fd = (int)(events[i].data.u64 >> 1);

			if (events[i].data.u64 & 1)
				epoll_watch(s, accept4(fd, NULL, NULL, SOCK_CLOEXEC), false);
			else
				request_answer(s, fd);
		}
	}
	return NULL;
}

static int listener_open(int *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t size = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 || listen(fd, LISTEN_BACKLOG) < 0)
		perror("bench-control: listen");
	getsockname(fd, (struct sockaddr *)&addr, &size);
	*port = ntohs(addr.sin_port);
	return fd;
}

struct sim_workers *sim_workers_create(int count)
{
	struct sim_workers *s = mem_zalloc(sizeof(*s));

	s->listeners = mem_zalloc((size_t)(count + 1) * sizeof(int));
	s->ports = mem_zalloc((size_t)(count + 1) * sizeof(int));
	s->count = count;
	s->epoll = epoll_create1(EPOLL_CLOEXEC);
	for (int i = 0; i < count; i++) {
		s->listeners[i] = listener_open(&s->ports[i]);
		epoll_watch(s, s->listeners[i], true);
	}
	pthread_create(&s->thread, NULL, workers_run, s);
	return s;
}

/* Accepted connections are closed when the instance that opened them exits. */
void sim_workers_destroy(struct sim_workers *s)
{
	if (!s)
		return;
	s->stop = true;
	pthread_join(s->thread, NULL);
	for (int i = 0; i < s->count; i++)
		close(s->listeners[i]);
	close(s->epoll);
	free(s->listeners);
	free(s->ports);
	free(s);
}

int sim_workers_port(const struct sim_workers *s, int index)
{
	return s->ports[index];
}

int64_t sim_workers_bytes(const struct sim_workers *s)
{
	return s->bytes;
}

void sim_worker_name(int index, char *out, size_t size)
{
	snprintf(out, size, "s%04d", index);
}
