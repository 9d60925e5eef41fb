#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ibisgate/common/error.h"

int error_set(struct error *err, enum error_layer layer, int code, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->layer = layer;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

int error_wrap(struct error *err, enum error_layer layer, int code, const char *fmt, ...)
{
	char lower_text[ERROR_TEXT_MAX];
	size_t len;
	va_list ap;

	if (!err)
		return -1;
	memcpy(lower_text, err->text, sizeof(lower_text));
	err->layer = layer;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	len = strlen(err->text);
	snprintf(err->text + len, sizeof(err->text) - len, ": %s", lower_text);
	return -1;
}

void error_clear(struct error *err)
{
	if (err)
		*err = (struct error){ 0 };
}

const char *error_layer_name(enum error_layer layer)
{
	switch (layer) {
	case ERROR_NONE:
		return "none";
	case ERROR_SETTINGS:
		return "settings";
	case ERROR_CODEC:
		return "codec";
	case ERROR_PLATFORM:
		return "platform";
	case ERROR_PEER:
		return "peer";
	case ERROR_LINK:
		return "link";
	case ERROR_STATE:
		return "state";
	case ERROR_POLICY:
		return "policy";
	case ERROR_FRONT:
		return "front";
	case ERROR_ADMIN:
		return "admin";
	case ERROR_TOOL:
		return "tool";
	}
	return "unknown";
}
