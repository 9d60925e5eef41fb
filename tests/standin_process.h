#ifndef IBISGATE_TESTS_STANDIN_PROCESS_H
#define IBISGATE_TESTS_STANDIN_PROCESS_H

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "eventually.h"

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/harness/harness.h"
#include "ibisgate/net/http_call.h"
}

/*
 * Starts a stand-in process, waits until it listens, and stops it in the destructor. It is killed
 * when the thread that started it ends.
 */
class StandinProcess
{
      public:
	StandinProcess(const std::string &name, const std::vector<std::string> &args)
	{
		std::string path = std::string(STANDIN_DIR) + "/" + name;
		std::vector<char *> argv = { const_cast<char *>(path.c_str()) };
		pid_t parent = getpid();
		int out[2];
		char c;

		for (auto &a : args)
			argv.push_back(const_cast<char *>(a.c_str()));
		argv.push_back(nullptr);
		EXPECT_EQ(pipe(out), 0);
		pid = fork();
		if (pid == 0)
			harness_child_exec(path.c_str(), argv.data(), out[1], STDERR_FILENO,
					   parent);
		EXPECT_GT(pid, 0);
		close(out[1]);
		while (read(out[0], &c, 1) == 1 && c != '\n')
			ready_line += c;
		close(out[0]);
		EXPECT_EQ(ready_line.rfind("listening ", 0), 0u) << path << ": " << ready_line;
		port = atoi(ready_line.substr(ready_line.find(' ') + 1).c_str());
		pool = http_pool_create();
	}
	~StandinProcess()
	{
		if (pid > 0)
			stop();
		http_pool_destroy(pool);
	}
	/* Sends SIGTERM and returns the exit status: 42 after an injected crash, -1 if killed. */
	int stop()
	{
		int status = 0;

		kill(pid, SIGTERM);
		waitpid(pid, &status, 0);
		pid = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}
	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port);
	}
	std::string url(const std::string &path = "") const
	{
		return "http://" + address() + path;
	}
	/* Returns the port of a route of the fault proxy. */
	int route_port(const std::string &name) const
	{
		return atoi(
			ready_line.substr(ready_line.find(name + "=") + name.size() + 1).c_str());
	}
	json_t *send_json(const char *method, const std::string &path, const std::string &body = "")
	{
		std::string target = url() + path;
		struct http_call c = {};

		c.method = method;
		c.url = target.c_str();
		c.body = { body.data(), body.size() };
		c.timeout_ms = 3000;
		EXPECT_EQ(http_call(pool, &c), HTTP_REPLIED) << path;
		EXPECT_LT(c.status, 300) << path << " " << (c.reply.data ? c.reply.data : "");
		json_t *o = json_parse(buf_str(&c.reply));
		buf_free(&c.reply);
		return o;
	}
	void post_json(const std::string &path, const std::string &body)
	{
		json_decref(send_json("POST", path, body));
	}
	pid_t pid = -1;
	int port = 0;
	std::string ready_line;
	struct http_pool *pool;
};

#endif
