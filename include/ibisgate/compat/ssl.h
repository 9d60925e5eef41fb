#ifndef IBISGATE_COMPAT_SSL_H
#define IBISGATE_COMPAT_SSL_H

/**
 * ssl_compat_link - keep the program linked to the compatibility library
 *
 * The function does nothing. The reference to it keeps the linker from dropping the library, which
 * CivetWeb loads with dlopen().
 */
void ssl_compat_link(void);

#endif
