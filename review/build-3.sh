#!/bin/sh
# Builds the stand-ins of the scripts in review/9 to review/13. They are Python and need
# nothing beside its own library, so that all there is to do is to compile them once.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib

files = sorted(pathlib.Path("common-3").glob("*.py"))
files += [each for n in range(9, 14) for each in sorted(pathlib.Path(str(n)).glob("*.py"))]
for each in files:
    compile(each.read_text(), str(each), "exec")
    print("compiled", each)
PY
