#!/bin/sh
# The stand-ins of the third review are Python 3 programs, which need no build; checks that they
# can be loaded.
set -e
cd "$(dirname "$0")/lib-3"
for module in http1 store deployment; do
	python3 -B -c "import $module"
done
