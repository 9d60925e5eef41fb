#!/bin/sh
# The stand-ins of the second review are Python 3 programs, which need no build; checks that they
# can be loaded.
set -e
cd "$(dirname "$0")/lib-2"
for module in http1 store worker deployment; do
	python3 -B -c "import $module"
done
