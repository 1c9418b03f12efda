#!/usr/bin/env bash
# Fails unless tests in nested classes ran: each nested class of a test must appear in a report.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
while IFS= read -r class; do
  name=$(basename "$class" .class)
  outer=${name%%\$*}
  module=${class%%/target/*}
  if ! grep -qs "classname=\"[A-Za-z0-9_.]*$outer\$" "$module"/target/surefire-reports/TEST-*.xml; then
    echo "no test of $name ran"
    missing=1
  fi
done < <(find . -path '*/target/test-classes/*Test$*.class' ! -name '*Test$*$[0-9]*.class' ! -name '*Test$[0-9]*.class')
if [ "$missing" = 0 ]; then
  echo "tests in nested classes ran"
fi
exit "$missing"
