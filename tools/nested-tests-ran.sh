#!/usr/bin/env bash
# Fails unless the tests in nested classes ran: each nested test class must appear in a report.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
while IFS= read -r class; do
  name=$(basename "$class" .class)
  module=${class%%/target/*}
  if ! grep -qsF ".$name\"" "$module"/target/surefire-reports/TEST-*.xml; then
    echo "no test of $name ran"
    missing=1
  fi
done < <(find . -path '*/target/test-classes/*Test$*Test.class')
if [ "$missing" = 0 ]; then
  echo "tests in nested classes ran"
fi
exit "$missing"
