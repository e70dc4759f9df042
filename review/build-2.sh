#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are Python
# programs of the standard library, so that it only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
for each in review/common-2/standin.py review/[4-8]/case.py; do
    python3 - "$each" <<'CHECK' || exit 2
import sys
from pathlib import Path

compile(Path(sys.argv[1]).read_text(), sys.argv[1], "exec")
CHECK
done
