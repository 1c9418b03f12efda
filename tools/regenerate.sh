#!/usr/bin/env bash
# Regenerates the committed sources of protobuf and Dagger. With --check, fails if anything differs.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
protoc_committed=4.36.2
protoc_version=$protoc_committed
protoc_platform=linux-x86_64
if [ "$(uname -m)" = aarch64 ]; then
  # The registry has no linux-aarch_64 build of 4.36.2.
  protoc_version=4.36.1
  protoc_platform=linux-aarch_64
fi
mvn -q -B dependency:copy -Dartifact=com.google.protobuf:protoc:"$protoc_version":exe:"$protoc_platform" -DoutputDirectory="$work"
chmod +x "$work"/protoc-*.exe
mkdir -p "$work/proto" "$work/dagger" "$work/classes"
"$work"/protoc-*.exe --proto_path=wire/src/main/proto --java_out="$work/proto" clementinesail.proto
if [ "$protoc_version" != "$protoc_committed" ]; then
  # The generated sources name the compiler's version in these two places and differ nowhere else.
  find "$work/proto" -name '*.java' -exec sed -i \
    -e "s|^// Protobuf Java Version: ${protoc_version}\$|// Protobuf Java Version: ${protoc_committed}|" \
    -e "s|^\( */\* patch= \*/ \)${protoc_version##*.},\$|\1${protoc_committed##*.},|" {} +
fi
rm -rf wire/src/generated/java
mkdir -p wire/src/generated
cp -r "$work/proto" wire/src/generated/java
if [ -d server/src/main/java/org/clementinesail/server/wiring ]; then
  mvn -q -B -pl core,wire compile
  mvn -q -B -pl core,wire,server -Dmaven.main.skip=true compile dependency:build-classpath -Dmdep.outputFile="$work/cp"
  cat > "$work/pom.xml" <<'P'
<project xmlns="http://maven.apache.org/POM/4.0.0"><modelVersion>4.0.0</modelVersion><groupId>x</groupId><artifactId>x</artifactId><version>1</version>
<dependencies><dependency><groupId>com.google.dagger</groupId><artifactId>dagger-compiler</artifactId><version>2.60.1</version></dependency></dependencies></project>
P
  mvn -q -B -f "$work/pom.xml" dependency:build-classpath -Dmdep.outputFile="$work/pp"
  find server/src/main/java -name '*.java' > "$work/sources"
  javac -proc:only --release 17 -nowarn -cp "$(cat "$work/cp")" -processorpath "$(cat "$work/pp")" \
    -processor dagger.internal.codegen.ComponentProcessor -s "$work/dagger" -d "$work/classes" @"$work/sources"
  rm -rf server/src/generated/java
  mkdir -p server/src/generated
  cp -r "$work/dagger" server/src/generated/java
fi
if [ "${1:-}" = --check ]; then
  git diff --exit-code --stat -- wire/src/generated server/src/generated
  test -z "$(git status --porcelain -- wire/src/generated server/src/generated)"
  echo "regenerating changes nothing"
fi
