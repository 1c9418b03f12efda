#!/usr/bin/env bash
# Measures what a VM spends: bytes to other VMs, processor time and memory, without and with load.
# Usage: tools/measure-site.sh VMS COPIES SECONDS. Prints one line a VM and kind of traffic.
set -euo pipefail
cd "$(dirname "$0")/.."
vm_count=$1
copies=$2
seconds=$3
folder=$(mktemp -d)
examples/site.sh "$folder" "$vm_count" "$copies" 2>/dev/null &
site=$!
trap 'kill $site 2>/dev/null; wait $site 2>/dev/null || true; rm -rf "$folder"' EXIT
token=operator-token-of-the-try-out
metrics() { curl -s -H "Authorization: Bearer $token" "http://127.0.0.1:1830$1/metrics"; }
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$folder/vm-$1.pid")/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$(cat "$folder/vm-$1.pid")/status"; }
for _ in $(seq 100); do
  code=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $token" \
    --data-binary @examples/rules.txt http://127.0.0.1:18301/v1/rules || true)
  if [ "$code" = 200 ]; then break; fi
  sleep 0.3
done
sleep "${WARM:-5}"
snapshot() { for n in $(seq "$vm_count"); do metrics "$n" > "$folder/$1-$n"; ticks "$n" > "$folder/$1-ticks-$n"; done; }
report() {
  for n in $(seq "$vm_count"); do
    awk -v s="$seconds" -v n="$n" -v phase="$1" '
      FNR == NR { before[$1] = $2; next }
      /peer_sent_bytes/ { rate = ($2 - before[$1]) / s; total += rate; kinds = kinds " " substr($1, 32) "=" int(rate) }
      END { printf "%s vm-%d sent B/s %d:%s\n", phase, n, total, kinds }
    ' "$folder/$2-$n" "$folder/$3-$n"
    spent=$(($(cat "$folder/$3-ticks-$n") - $(cat "$folder/$2-ticks-$n")))
    awk -v t="$spent" -v s="$seconds" -v n="$n" -v r="$(rss "$n")" -v phase="$1" 'BEGIN {
      printf "%s vm-%d cpu %.2f%% of a core, rss %d KB\n", phase, n, t / s, r }'
  done
}
snapshot a
sleep "$seconds"
snapshot b
report idle a b
streams=${STREAMS:-12}
tokens=${TOKENS:-200}
started=$(date +%s%N)
pids=()
for i in $(seq "$streams"); do
  port=1810$((1 + i % vm_count))
  curl -s "http://127.0.0.1:$port/v1/completions" -H 'X-Workspace: guides' \
    -d "{\"model\": \"sail-lm\", \"prompt\": \"fold a plane $i\", \"max_tokens\": $tokens}" \
    > "$folder/answer-$i" &
  pids+=($!)
done
wait "${pids[@]}"
ended=$(date +%s%N)
snapshot c
awk -v ns=$((ended - started)) -v n=$((streams * tokens)) 'BEGIN {
  printf "load: %d tokens in %.2f s, %.0f tokens/s\n", n, ns / 1e9, n / (ns / 1e9) }'
total=0
for n in $(seq "$vm_count"); do
  total=$((total + $(cat "$folder/c-ticks-$n") - $(cat "$folder/b-ticks-$n")))
done
awk -v t="$total" -v n=$((streams * tokens)) 'BEGIN {
  printf "load: %.0f us of processor time of all VMs for each token of 3 stages\n", t * 10000 / n }'
