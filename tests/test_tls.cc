#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <curl/curl.h>
#include <string>

extern "C" {
#include "ibisgate/harness/harness.h"
}

static size_t append_body(char *data, size_t size, size_t n, void *user)
{
	static_cast<std::string *>(user)->append(data, size * n);
	return size * n;
}

static CURLcode fetch(const std::string &url, const std::string &ca, std::string *body)
{
	CURL *easy = curl_easy_init();
	CURLcode rc;

	curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
	curl_easy_setopt(easy, CURLOPT_CAINFO, ca.c_str());
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 3000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	rc = curl_easy_perform(easy);
	curl_easy_cleanup(easy);
	return rc;
}

/* Guards against an instance that crashes at its first TLS connection, as Debian's CivetWeb does
 * with OpenSSL 3 without compat/ssl.c, and against one that serves plain HTTP on the TLS port. */
TEST(Tls, ServesTlsOnlyOnTlsPort)
{
	struct error err = {};
	struct harness *h = harness_create(&err);
	ASSERT_NE(h, nullptr) << err.text;
	std::string dir = h->dir;
	std::string make_certificate =
		"cd " + dir +
		" && openssl req -x509 -newkey rsa:2048 -nodes -keyout key.pem "
		"-out cert.pem -days 2 -subj /CN=127.0.0.1 "
		"-addext subjectAltName=IP:127.0.0.1 2>/dev/null "
		"&& cat cert.pem key.pem > server.pem";
	ASSERT_EQ(system(make_certificate.c_str()), 0);
	std::string ini_path = dir + "/i.ini";
	FILE *ini_file = fopen(ini_path.c_str(), "w");

	fprintf(ini_file,
		"[instance]\nid = a-1\ndata-centre = a\nregion = r\n[http]\n"
		"listen = 127.0.0.1:0\nthreads = 8\ntls-certificate = %s/server.pem\n[admin]\n"
		"listen = 127.0.0.1:0\ntoken = 0123456789abcdef\n[peer]\nlisten = 127.0.0.1:0\n"
		"[platform]\nurl = http://127.0.0.1:1\n",
		dir.c_str());
	fclose(ini_file);
	const char *const argv[] = { "--settings", ini_path.c_str(), nullptr };
	struct harness_process *instance = harness_process_start(h, "a-1", "ibisgated", argv, &err);
	ASSERT_NE(instance, nullptr) << err.text;
	std::string authority_and_path =
		"127.0.0.1:" + std::to_string(harness_process_port(instance, "http")) + "/healthz";
	std::string body;

	for (int i = 0; i < 3; i++)
		EXPECT_EQ(fetch("https://" + authority_and_path, dir + "/cert.pem", &body),
			  CURLE_OK);
	EXPECT_EQ(body, "ok\nok\nok\n");
	EXPECT_NE(fetch("http://" + authority_and_path, dir + "/cert.pem", &body), CURLE_OK);
	EXPECT_EQ(harness_process_stop(instance, 20000), 0);
	harness_destroy(h);
}
