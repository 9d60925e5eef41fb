#include "promise_fixture.h"
