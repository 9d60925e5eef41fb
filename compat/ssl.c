#include <openssl/ssl.h>

#include "ibisgate/compat/ssl.h"

/*
 * Debian 12's CivetWeb 1.15 loads OpenSSL with dlopen("libssl.so") and looks up
 * SSL_get_peer_certificate, which OpenSSL 3 no longer exports; the missing pointer is then called
 * for every TLS connection. This library has the soname "libssl.so", so that a process that links
 * it answers that dlopen(); all other symbols come from the real library, on which it depends.
 */
#undef SSL_get_peer_certificate
/* The name is OpenSSL's. NOLINTNEXTLINE(readability-identifier-naming) */
X509 *SSL_get_peer_certificate(const SSL *ssl);

X509 *SSL_get_peer_certificate(const SSL *ssl)
{
	return SSL_get1_peer_certificate(ssl);
}

void ssl_compat_link(void)
{
}
