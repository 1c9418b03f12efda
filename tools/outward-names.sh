#!/usr/bin/env bash
# Fails unless the source still has each name of docs/outward-names.txt, which leave a process, letter for letter.
# Usage: tools/outward-names.sh [--counts]; --counts prints each name with the number of its occurrences.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - "${1:-}" <<'P'
import collections, glob, re, sys

java = glob.glob("*/src/main/java/**/*.java", recursive=True)
other = glob.glob("*/src/main/proto/*.proto") + glob.glob("*/src/main/resources/**/*.properties", recursive=True)
other += glob.glob("**/pom.xml", recursive=True) + glob.glob("examples/*") + ["deploy/system.toml"]
counts = collections.Counter()
whole = []
for path in java:
    with open(path, encoding="utf-8") as file:
        code = re.sub(r"/\*.*?\*/|(?m:^\s*//[^\n]*$)", "", file.read(), flags=re.S)
    literals = re.findall(r'"((?:[^"\\\n]|\\.)*)"', code)
    counts.update(literals)
    # Names that are part of a longer text, such as a metric's prefix, and constants of enums.
    whole.append("\n".join(literals))
    counts.update(re.findall(r"(?m)^\s+([A-Z][A-Z_]*)(?:\(.*\))?[,;]?$", code))
for path in other:
    with open(path, encoding="utf-8") as file:
        counts.update(re.findall(r"[\w.-]+", file.read()))
whole = "\n".join(whole)
missing = []
with open("docs/outward-names.txt", encoding="utf-8") as file:
    names = [line.strip("\n") for line in file if line.strip() and not line.startswith("#")]
for name in names:
    count = counts[name] or len(re.findall(r"(?<![\w-])" + re.escape(name.strip()) + r"(?![\w-])", whole))
    if sys.argv[1] == "--counts":
        print(count, name)
    if not count:
        missing.append(name)
for name in missing:
    print(f"the source lacks the outward name: {name}")
print(f"{len(names) - len(missing)} of {len(names)} outward names are in the source")
sys.exit(1 if missing else 0)
P
