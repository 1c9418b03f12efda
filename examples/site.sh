#!/usr/bin/env bash
# Starts a site on this machine: VMs, engines that share a model of 24 layers, one shop.
# Usage: examples/site.sh FOLDER [VMS] [COPIES]. By default 3 VMs and one copy of three engines.
# Writes settings, data and logs to the folder; ends all on its own end.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$1
vm_count=${2:-3}
copies=${3:-1}
mkdir -p "$folder"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
printf 'peer-secret-of-the-try-out\n' > "$folder/peer.secret"
printf 'operator-token-of-the-try-out\n' > "$folder/operator.token"
vms=
for n in $(seq "$vm_count"); do vms="$vms,http://127.0.0.1:1820$n"; done
vms=${vms#,}
is_replica() { [ "$1" -le 3 ]; }
settings() {
  local n=$1
  echo "vm: vm-$n"
  echo "data-centre: cardiff-a"
  echo "listen:"
  echo "  callers: 127.0.0.1:1810$n"
  echo "  targets: 127.0.0.1:1820$n"
  echo "  operators: 127.0.0.1:1830$n"
  echo "  peers: 127.0.0.1:1840$n"
  if is_replica "$n"; then echo "data-folder: data-$n"; fi
  echo "peer-secret-file: peer.secret"
  echo "operator-token-file: operator.token"
  echo "peers:"
  for m in $(seq "$vm_count"); do
    if [ "$m" != "$n" ]; then
      echo "  - vm: vm-$m"
      echo "    address: 127.0.0.1:1840$m"
      if is_replica "$m"; then echo "    replica: true"; fi
    fi
  done
}
for n in $(seq "$vm_count"); do
  mkdir -p "$folder/data-$n"
  settings "$n" > "$folder/vm-$n.yaml"
  java -Xmx256m -XX:+UseSerialGC -jar "$root/server/target/clementinesail-server-all.jar" \
    --settings "$folder/vm-$n.yaml" > "$folder/vm-$n.log" 2>&1 &
  pids+=($!)
  echo $! > "$folder/vm-$n.pid"
done
fakes="$root/fakes/target/clementinesail-fakes-all.jar"
for copy in $(seq "$copies"); do
  for n in 0 1 2; do
    java -Xmx128m -XX:+UseSerialGC -jar "$fakes" engine name="engine-$n-$copy" \
      port=$((19000 + 10 * copy + n)) from=$((n * 8)) to=$((n * 8 + 8)) layers=24 vms="$vms" \
      > "$folder/engine-$n-$copy.log" 2>&1 &
    pids+=($!)
  done
done
java -Xmx128m -XX:+UseSerialGC -jar "$fakes" shop name=shop-1 port=19101 vms="$vms" \
  > "$folder/shop.log" 2>&1 &
pids+=($!)
wait
