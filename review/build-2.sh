#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. They need Python 3 alone, so
# this only checks that they compile; the programs themselves come from the deploy file's build.
set -e
cd "$(dirname "$0")"
python3 -B - common-2/*.py */case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
CHECK_JAR=../target/clementinesail.jar
test -f "$CHECK_JAR" || echo "note: build target/clementinesail.jar with the build of the deploy file"
