#!/bin/sh
# Builds only the daemon, as a release build, in target/.
set -eu
[ -f target/build.ninja ] || meson setup target --buildtype=release -Dtests=false >/dev/null
ninja -C target ibisgated/ibisgated
