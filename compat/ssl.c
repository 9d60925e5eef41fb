#include <openssl/ssl.h>

#include "ibisgate/compat/ssl.h"

/*
 * CivetWeb 1.15 of Debian 12 loads OpenSSL with dlopen("libssl.so") and looks up
 * SSL_get_peer_certificate, which OpenSSL 3 no longer exports. CivetWeb then calls the null pointer
 * for every TLS connection. This library has the soname "libssl.so", so that in a process linked to
 * it the dlopen() resolves to this library. It depends on the real libssl, which provides all other
 * symbols.
 */
#undef SSL_get_peer_certificate
/* The name is defined by OpenSSL. NOLINTNEXTLINE(readability-identifier-naming) */
X509 *SSL_get_peer_certificate(const SSL *ssl);

X509 *SSL_get_peer_certificate(const SSL *ssl)
{
	return SSL_get1_peer_certificate(ssl);
}

void ssl_compat_link(void)
{
}
