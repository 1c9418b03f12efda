#!/usr/bin/env bash
# Fails unless the Java names on the pages are in the source: types, members and constants in back quotes
# (Type, Type.member, CONSTANT), and names of tests (someCase, SomeTest) anywhere.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import glob, re, sys

words, members = set(), {}
for path in glob.glob("*/src/**/*.java", recursive=True):
    if "/src/generated/" not in path or "/wire/proto/" in path:
        with open(path, encoding="utf-8") as file:
            found = set(re.findall(r"\w+", file.read()))
        words |= found
        members[path.rsplit("/", 1)[1][: -len(".java")]] = found
for path in glob.glob("*/src/main/proto/*.proto") + glob.glob("**/pom.xml", recursive=True) + ["deploy/system.toml"]:
    with open(path, encoding="utf-8") as file:
        words |= set(re.findall(r"[\w]+", file.read()))
name = re.compile(r"([A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)+|[A-Z][A-Za-z0-9]+(?=[.#][a-z])|[A-Z]+(?:_[A-Z0-9]+)+)(?:[.#](\w+))?(?:\(.*\))?")
plain = re.compile(r"\b(?:[a-z]+(?:[A-Z][a-z0-9]*)+|[A-Z][A-Za-z0-9]+Test)\b")
missing = checked = 0
for path in sorted(glob.glob("docs/**/*.md", recursive=True) + ["README.md", "KNOWN-RED.txt"]):
    try:
        file = open(path, encoding="utf-8")
    except FileNotFoundError:
        continue
    with file:
        for number, line in enumerate(file, 1):
            unknown = set()
            for match in filter(None, map(name.fullmatch, re.findall(r"`([^`]+)`", line))):
                checked += 1
                if match[1] not in words or match[2] and match[2] not in members.get(match[1], words):
                    unknown.add(match[0])
            for word in plain.findall(line):
                checked += 1
                if word not in words:
                    unknown.add(word)
            for word in sorted(unknown):
                missing += 1
                print(f"{path}:{number}: the source lacks {word}")
print(f"{checked - missing} of {checked} names in the pages are in the source")
sys.exit(1 if missing else 0)
P
