#!/bin/sh
# Release build of the daemon alone, under target/.
set -eu
[ -f target/build.ninja ] || meson setup target --buildtype=release -Dtests=false >/dev/null
ninja -C target ibisgated/ibisgated
