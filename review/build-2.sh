#!/bin/sh
# Prepares the stand-ins of the second review. They need Python 3.11 only.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
python3 -m compileall -q review/standins2 || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
