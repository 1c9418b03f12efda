#!/usr/bin/env bash
# Starts a site on this machine: three VMs, three engines that share a model, one shop.
# Usage: examples/site.sh FOLDER. Writes settings, data and logs there; ends all on its own end.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$1
mkdir -p "$folder"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
printf 'peer-secret-of-the-try-out\n' > "$folder/peer.secret"
printf 'operator-token-of-the-try-out\n' > "$folder/operator.token"
vms=http://127.0.0.1:18201,http://127.0.0.1:18202,http://127.0.0.1:18203
for n in 1 2 3; do
  mkdir -p "$folder/data-$n"
  {
    echo "vm: vm-$n"
    echo "data-centre: cardiff-a"
    echo "listen:"
    echo "  callers: 127.0.0.1:1810$n"
    echo "  targets: 127.0.0.1:1820$n"
    echo "  operators: 127.0.0.1:1830$n"
    echo "  peers: 127.0.0.1:1840$n"
    echo "data-folder: data-$n"
    echo "peer-secret-file: peer.secret"
    echo "operator-token-file: operator.token"
    echo "peers:"
    for m in 1 2 3; do
      if [ "$m" != "$n" ]; then
        echo "  - vm: vm-$m"
        echo "    address: 127.0.0.1:1840$m"
        echo "    replica: true"
      fi
    done
  } > "$folder/vm-$n.yaml"
  java -jar "$root/server/target/clementinesail-server-all.jar" --settings "$folder/vm-$n.yaml" \
    > "$folder/vm-$n.log" 2>&1 &
  pids+=($!)
done
fakes="$root/fakes/target/clementinesail-fakes-all.jar"
for n in 0 1 2; do
  java -jar "$fakes" engine name="engine-$n" port=$((19001 + n)) from=$((n * 8)) to=$((n * 8 + 8)) \
    layers=24 vms="$vms" > "$folder/engine-$n.log" 2>&1 &
  pids+=($!)
done
java -jar "$fakes" shop name=shop-1 port=19101 vms="$vms" > "$folder/shop.log" 2>&1 &
pids+=($!)
echo "${pids[@]}" > "$folder/pids"
wait
