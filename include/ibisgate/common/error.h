#ifndef IBISGATE_COMMON_ERROR_H
#define IBISGATE_COMMON_ERROR_H

/**
 * enum error_layer - layer that reports an error; each layer has its own codes
 */
enum error_layer {
	ERROR_NONE,
	ERROR_SETTINGS,
	ERROR_CODEC,
	ERROR_PLATFORM,
	ERROR_PEER,
	ERROR_LINK,
	ERROR_STATE,
	ERROR_POLICY,
	ERROR_FRONT,
	ERROR_ADMIN,
	ERROR_TOOL,
};

#define ERROR_TEXT_MAX 256

/**
 * struct error - error passed down a call chain and filled by the callee
 * @layer: layer that reports the error
 * @code: value of that layer's error enum; 0 when there is no error
 * @text: message for operators; never contains prompt text or keys
 */
struct error {
	enum error_layer layer;
	int code;
	char text[ERROR_TEXT_MAX];
};

/**
 * error_set - fill in @err, unless it is NULL
 *
 * Return: -1, so that a failing function can end with "return error_set(...)".
 */
int error_set(struct error *err, enum error_layer layer, int code, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * error_wrap - convert the error of a lower layer into one of the calling layer
 *
 * The text becomes "<new text>: <old text>".
 *
 * Return: -1.
 */
int error_wrap(struct error *err, enum error_layer layer, int code, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

void error_clear(struct error *err);
const char *error_layer_name(enum error_layer layer);

#endif
