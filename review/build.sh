#!/bin/sh
# The stand-ins of the cases are Python programs and need no build; checks what they need.
set -eu
python3 -c 'import asyncio, tomllib'
