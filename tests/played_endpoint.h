#ifndef TESTS_PLAYED_ENDPOINT_H
#define TESTS_PLAYED_ENDPOINT_H

#include <fstream>

#include "entry_fixture.h"
#include "tiny_server.h"

inline const char *const STREAM_HEAD =
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	"Transfer-Encoding: chunked\r\nX-Ibisgate-Server-Signature: s\r\n"
	"X-Ibisgate-Request-Id: ";

inline std::string request_id(const std::string &request)
{
	return field_value(request, "X-Ibisgate-Request-Id");
}

inline std::string chunk(const std::string &text)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

/* Sends @text every @interval_ms until the peer closes or @ms are over; returns the time taken. */
inline int64_t send_until_closed(int fd, const std::string &text, int interval_ms, int64_t ms)
{
	int64_t from = clock_boot_ms();

	while (clock_boot_ms() - from < ms && send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0)
		usleep((useconds_t)interval_ms * 1000);
	return clock_boot_ms() - from;
}

/* An endpoint of the platform is replaced by a server that the test controls byte by byte. */
class PlayedEndpointTest : public EntryTest
{
      protected:
	void replace_endpoint(const std::string &id, const TinyServer &server)
	{
		move_endpoint(id, server.port);
		usleep(1500000);
	}
	/* Resident memory in KiB; with "VmHWM", the highest so far. */
	int64_t resident_kib(const struct harness_process *p, const std::string &which = "VmRSS")
	{
		std::ifstream f("/proc/" + std::to_string(p->pid) + "/status");
		std::string line;

		while (std::getline(f, line)) {
			if (line.rfind(which + ":", 0) == 0)
				return atoll(line.c_str() + which.size() + 1);
		}
		return 0;
	}
};

#endif
