#!/bin/sh
# The stand-ins are Python programs without dependencies; this checks that
# they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins [0-9]
