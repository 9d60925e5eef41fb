#ifndef IBISGATE_COMPAT_SSL_H
#define IBISGATE_COMPAT_SSL_H

/**
 * ssl_compat_link - make the program depend on the compatibility library
 *
 * Does nothing when called; the reference keeps the linker from dropping the library, which
 * CivetWeb finds with dlopen().
 */
void ssl_compat_link(void);

#endif
