#!/bin/sh
# The stand-ins are Python modules without a build; checks that they can be loaded.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here" PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.case"
echo "stand-ins are ready"
