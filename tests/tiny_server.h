#ifndef TESTS_TINY_SERVER_H
#define TESTS_TINY_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/* Value of the field @name of a message; "" if it has none. */
inline std::string field_value(const std::string &message, const std::string &name)
{
	size_t at = message.find("\r\n" + name + ": ");

	if (at == std::string::npos)
		return "";
	at += name.size() + 4;
	return message.substr(at, message.find("\r\n", at) - at);
}

/* @text with @id in place of each $ID. */
inline std::string with_id(std::string text, const std::string &id)
{
	for (size_t at; (at = text.find("$ID")) != std::string::npos;)
		text.replace(at, 3, id);
	return text;
}

/* Opens a listener on a port of its own. */
inline int listen_on_loopback(int backlog, int *port)
{
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, backlog))
		abort();
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	return fd;
}

/* HTTP server for tests. The handler receives each request as text and writes the raw response. */
class TinyServer
{
      public:
	/* The handler returns false to close the connection. */
	using Handler = std::function<bool(int fd, const std::string &request)>;

	explicit TinyServer(Handler handler) : handler_(std::move(handler))
	{
		open_listener();
		acceptor_ = std::thread([this] { accept_loop(); });
	}

	~TinyServer()
	{
		stop();
	}

	/* Closes the listener and all connections. Later connection attempts are refused. */
	void stop()
	{
		if (stopping_.exchange(true))
			return;
		acceptor_.join();
		close(listen_fd_);
		{
			std::lock_guard<std::mutex> g(lock_);
			for (int fd : fds_)
				shutdown(fd, SHUT_RDWR);
		}
		for (auto &t : threads_)
			t.join();
	}

	/*
	 * Closes the listener but no connection. A handler calls this instead of stop(), which
	 * would wait for the handler itself.
	 */
	void refuse_connections()
	{
		refusing_ = true;
		while (!refused_)
			usleep(1000);
	}

	/* Closes the listener for about @ms milliseconds, then reopens it on the same port. */
	void refuse_connections_for_ms(int ms)
	{
		refuse_ms_ = ms;
		refuse_connections();
	}

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port);
	}

	static void send_bytes(int fd, const std::string &s)
	{
		send(fd, s.data(), s.size(), MSG_NOSIGNAL);
	}

	static void send_response(int fd, int status, const std::string &body)
	{
		send_bytes(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
				       std::to_string(body.size()) + "\r\n\r\n" + body);
	}

	/* Makes the next close of @fd send a TCP reset. */
	static void reset(int fd)
	{
		struct linger l = { 1, 0 };

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	}

	int port = 0;
	std::atomic<int> connections{ 0 };
	std::atomic<int> requests{ 0 };

      private:
	void open_listener()
	{
		sockaddr_in a = {};
		socklen_t len = sizeof(a);
		int one = 1;

		listen_fd_ = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons(static_cast<uint16_t>(port));
		bind(listen_fd_, reinterpret_cast<sockaddr *>(&a), sizeof(a));
		listen(listen_fd_, 64);
		getsockname(listen_fd_, reinterpret_cast<sockaddr *>(&a), &len);
		port = ntohs(a.sin_port);
	}

	void accept_loop()
	{
		while (!stopping_) {
			pollfd p = { listen_fd_, POLLIN, 0 };

			if (refusing_ && !refused_) {
				close(listen_fd_);
				listen_fd_ = -1;
				refused_ = true;
			}
			if (refused_) {
				usleep(1000);
				if (!refuse_ms_ || --refuse_ms_)
					continue;
				open_listener();
				refusing_ = refused_ = false;
			}
			if (poll(&p, 1, 5) != 1)
				continue;
			int fd = accept(listen_fd_, nullptr, nullptr);
			int one = 1;

			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			connections++;
			std::lock_guard<std::mutex> g(lock_);
			fds_.push_back(fd);
			threads_.emplace_back([this, fd] { serve(fd); });
		}
	}

	void serve(int fd)
	{
		std::string in;
		char chunk[4096];

		for (;;) {
			size_t head = in.find("\r\n\r\n");
			size_t body = 0;

			if (head != std::string::npos) {
				size_t field = in.find("Content-Length: ");

				if (field < head)
					body = strtoul(in.c_str() + field + 16, nullptr, 10);
			}
			if (head != std::string::npos && in.size() >= head + 4 + body) {
				std::string request = in.substr(0, head + 4 + body);

				in.erase(0, head + 4 + body);
				requests++;
				if (!handler_(fd, request))
					break;
				continue;
			}
			ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
			if (n <= 0)
				break;
			in.append(chunk, static_cast<size_t>(n));
		}
		std::lock_guard<std::mutex> g(lock_);
		for (auto &f : fds_) {
			if (f == fd)
				f = -1;
		}
		close(fd);
	}

	Handler handler_;
	int listen_fd_;
	std::atomic<bool> stopping_{ false };
	std::atomic<bool> refusing_{ false };
	std::atomic<bool> refused_{ false };
	std::atomic<int> refuse_ms_{ 0 };
	std::thread acceptor_;
	std::mutex lock_;
	std::vector<int> fds_;
	std::vector<std::thread> threads_;
};

/* A server whose handler also reads; it serves one connection after the other and closes each. */
class RawServer
{
      public:
	explicit RawServer(const std::function<void(int fd)> &handler)
	    : listen_fd_(listen_on_loopback(8, &port))
	{
		thread_ = std::thread([this, handler] {
			int fd;

			while ((fd = accept(listen_fd_, nullptr, nullptr)) >= 0) {
				handler(fd);
				close(fd);
			}
		});
	}
	~RawServer()
	{
		/* Ends accept(). */
		shutdown(listen_fd_, SHUT_RDWR);
		thread_.join();
		close(listen_fd_);
	}
	int port = 0;

      private:
	int listen_fd_;
	std::thread thread_;
};

/* A server that answers each upload of some MB once it has the head, and then ends. */
class EarlyAnswerer
{
      public:
	enum Ending {
		RESET,
		CLOSE_UNREAD,
		/* The end of the answer, then a reset. */
		END_AND_RESET,
		/* The end of the answer; what is left of the upload is read. */
		END_AND_READ,
	};

	/*
	 * @ms: time from the answer to its end
	 * @answer: bytes to send; $ID is the id of the request
	 */
	EarlyAnswerer(Ending how, int ms, const std::string &answer)
	    : how_(how), ms_(ms), answer_(answer), server_([this](int fd) { serve(fd); })
	{
	}
	int port() const
	{
		return server_.port;
	}
	std::atomic<int> uploads{ 0 };

      private:
	void serve(int fd)
	{
		char data[4096];
		std::string head;
		ssize_t n;

		while (head.find("\r\n\r\n") == std::string::npos) {
			if ((n = recv(fd, data, sizeof(data), 0)) <= 0)
				return;
			head.append(data, (size_t)n);
		}
		if (head.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return;
		}
		uploads++;
		TinyServer::send_bytes(
			fd, with_id(answer_, field_value(head, "X-Ibisgate-Request-Id")));
		usleep((useconds_t)ms_ * 1000);
		if (how_ == END_AND_RESET || how_ == END_AND_READ)
			shutdown(fd, SHUT_WR);
		if (how_ == END_AND_RESET)
			usleep(20000);
		while (how_ == END_AND_READ && recv(fd, data, sizeof(data), 0) > 0)
			;
		if (how_ == RESET || how_ == END_AND_RESET)
			TinyServer::reset(fd);
	}

	Ending how_;
	int ms_;
	std::string answer_;
	RawServer server_;
};

/* A server that accepts connections and reads nothing until it is told to. */
class LateReader
{
      public:
	LateReader()
	{
		int small = 4096;

		listen_fd = listen_on_loopback(8, &port);
		/* Accepted connections take it over. */
		setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	}
	~LateReader()
	{
		close(listen_fd);
	}
	/* Reads one connection to its end. Return: number of bytes; @error is that of the end. */
	size_t read_all(int *error)
	{
		int fd = accept(listen_fd, nullptr, nullptr);
		struct timeval limit = { 3, 0 };
		size_t total = 0;
		char data[65536];
		ssize_t n;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		while ((n = recv(fd, data, sizeof(data), 0)) > 0)
			total += (size_t)n;
		*error = n < 0 ? errno : 0;
		close(fd);
		return total;
	}

	int listen_fd;
	int port;
};

#endif
