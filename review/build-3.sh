#!/bin/sh
# The stand-ins of the third review are Python files without a build; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("1[1-5]/run.py")) + [pathlib.Path("common-3/deployment.py")]:
    compile(path.read_text(), str(path), "exec")
PYTHON
