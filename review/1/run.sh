#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/play.py"
