#!/usr/bin/env bash
# Runs processes of two builds beside each other and on each other's data, and checks that they agree.
# Usage: tools/mixed-versions.sh OLD NEW. OLD and NEW are checkouts in which "mvn package -DskipTests" has run.
# Upgrades a site of three VMs one by one and rolls it back, then does the same with three control VMs and two
# entry VMs of the platform. On the way the leader is killed and a new rule file or desired state is submitted.
# Exits 0 if every check held; prints one line a check.
set -euo pipefail
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
work=$(mktemp -d)
declare -A pids=()
failures=0
trap 'for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"' EXIT
check() { # TEXT COMMAND...: one line with the outcome
  local text=$1
  shift
  if "$@"; then echo "ok      $text"; else echo "FAILED  $text"; failures=$((failures + 1)); fi
}
eventually() { # SECONDS COMMAND...
  local until=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$until" ]; then return 1; fi
    sleep 0.3
  done
}
name() { if [ "$1" = "$old" ]; then echo old; else echo new; fi; }
end() { # SIGNAL NAME: stops a process that this script started
  kill "-$1" "${pids[$2]}"
  wait "${pids[$2]}" 2>/dev/null || true
  unset "pids[$2]"
}

# The product's own interfaces: three VMs that hold replicas, three engines with a model of 24 layers, one shop.
token=operator-token-of-the-mixed-run
vm_settings() {
  cat <<S
vm: vm-$1
data-centre: cardiff-a
listen:
  callers: 127.0.0.1:2110$1
  targets: 127.0.0.1:2120$1
  operators: 127.0.0.1:2130$1
  peers: 127.0.0.1:2140$1
data-folder: data-$1
peer-secret-file: peer.secret
operator-token-file: operator.token
peers:
S
  for m in 1 2 3; do
    if [ "$m" != "$1" ]; then printf '  - vm: vm-%s\n    address: 127.0.0.1:2140%s\n    replica: true\n' "$m" "$m"; fi
  done
}
start_vm() { # NUMBER CHECKOUT
  java -Xmx256m -XX:+UseSerialGC -jar "$2/server/target/clementinesail-server-all.jar" \
    --settings "$site/vm-$1.yaml" >> "$site/vm-$1.log" 2>&1 &
  pids[vm-$1]=$!
}
start_fakes() { # CHECKOUT
  local vms=http://127.0.0.1:21201,http://127.0.0.1:21202,http://127.0.0.1:21203 n
  for n in 0 1 2; do
    java -Xmx96m -XX:+UseSerialGC -jar "$1/fakes/target/clementinesail-fakes-all.jar" engine name="engine-$n" \
      port=$((21500 + n)) from=$((n * 8)) to=$((n * 8 + 8)) layers=24 vms="$vms" > "$site/engine-$n.log" 2>&1 &
    pids[engine-$n]=$!
  done
  java -Xmx96m -XX:+UseSerialGC -jar "$1/fakes/target/clementinesail-fakes-all.jar" shop name=shop-1 port=21600 \
    vms="$vms" > "$site/shop.log" 2>&1 &
  pids[shop]=$!
}
ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:2110$1/readyz")" = 200 ]; }
guide() { # VM: a stream over the three engines
  curl -s -m 20 "http://127.0.0.1:2110$1/v1/completions" -H 'X-Workspace: guides' \
    -d '{"model": "sail-lm", "prompt": "fold a plane", "max_tokens": 8}' | grep -q '"outcome":"completed"'
}
order() { # VM KEY: a call that may run once only
  curl -s -m 20 "http://127.0.0.1:2110$1/services/shop-app/orders" -H 'X-Workspace: workshop-7' \
    -H "Idempotency-Key: $2" -H 'Content-Type: application/json' -d '{"kits": 2}' | grep -q shop-1-
}
charged() { # COUNT: orders that the shop has run
  [ "$(curl -s -m 5 http://127.0.0.1:21600/fake/orders | grep -o '"workspace"' | wc -l)" = "$1" ]
}
submit() { # VM NUMBER
  sed "s/^number [0-9]*/number $2/" "$old/examples/rules.txt" > "$site/rules-$2.txt"
  [ "$(curl -s -m 10 -o "$site/submit" -w '%{http_code}' -H "Authorization: Bearer $token" -H 'X-Operator: gwen' \
    --data-binary "@$site/rules-$2.txt" "http://127.0.0.1:2130$1/v1/rules")" = 200 ]
}
rules_read() { # VM NUMBER: the file is read back as it was sent
  curl -s -m 10 -H "Authorization: Bearer $token" "http://127.0.0.1:2130$1/v1/rules" | cmp -s - "$site/rules-$2.txt"
}
leader() { # VM: prints the number of the leader that the status of this VM names
  curl -s -m 10 -H "Authorization: Bearer $token" "http://127.0.0.1:2130$1/v1/status" |
    grep -o '"leader" *: *"vm-[123]"' | head -1 | grep -o '[123]'
}
has_leader() { [ -n "$(leader "$1")" ]; }
one_upgrade_of_a_site() { # FROM TO ORDER...: upgrades the VMs in this order
  local from=$1 to=$2 n m led
  shift 2
  site=$work/site-$(name "$from")-$(name "$to")
  mkdir -p "$site"
  echo "== site from $(name "$from") to $(name "$to"), VMs in the order $*"
  printf 'peer-secret-of-the-mixed-run\n' > "$site/peer.secret"
  printf '%s\n' "$token" > "$site/operator.token"
  declare -A build=()
  for n in 1 2 3; do
    mkdir "$site/data-$n"
    vm_settings "$n" > "$site/vm-$n.yaml"
    build[$n]=$from
    start_vm "$n" "$from"
  done
  start_fakes "$from"
  check "$(name "$from") VMs accept a rule file" eventually 40 submit 1 1
  for n in 1 2 3; do check "vm-$n is ready" eventually 40 ready "$n"; done
  check "a guide before the upgrade" eventually 20 guide 1
  check "an order before the upgrade" eventually 20 order 1 kit-1
  for n in "$@"; do
    end TERM "vm-$n"
    build[$n]=$to
    start_vm "$n" "$to"
    check "vm-$n is ready on the $(name "$to") build with the data of the $(name "$from") build" eventually 40 ready "$n"
    for m in 1 2 3; do check "a guide through vm-$m ($(name "${build[$m]}"))" eventually 20 guide "$m"; done
    check "the order is answered again by vm-$n" eventually 20 order "$n" kit-1
    check "the order was charged once" charged 1
    if [ "$n" = "$1" ]; then
      check "the status names a leader" eventually 20 has_leader "$n"
      led=$(leader "$n")
      end KILL "vm-$led"
      m=$((led % 3 + 1))
      check "a rule file is accepted after the leader vm-$led ($(name "${build[$led]}")) was killed" \
        eventually 30 submit "$m" 2
      start_vm "$led" "${build[$led]}"
      check "vm-$led is ready again" eventually 40 ready "$led"
      for m in 1 2 3; do check "vm-$m ($(name "${build[$m]}")) reads the new file back" eventually 20 rules_read "$m" 2; done
    fi
  done
  for n in 1 2 3; do
    check "vm-$n reads the file back after the last upgrade" eventually 20 rules_read "$n" 2
  done
  for n in "${!pids[@]}"; do end TERM "$n"; done
}

# The platform: three control VMs and one entry VM of each build, on addresses of their own.
control() { echo "http://127.0.$net.1$1:21729"; }
platform_settings() { # NUMBER ROLE
  cat <<S
node: "$2-$1"
zone: "cardiff-a"
ip: "127.0.$net.1$1"
listen:
S
  if [ "$2" = control ]; then
    printf '  control: "127.0.%s.1%s:21729"\n' "$net" "$1"
  else
    printf '  front: "127.0.%s.1%s:21727"\n  ready: "127.0.%s.1%s:21720"\n' "$net" "$1" "$net" "$1"
  fi
  cat <<S
inner_port_range:
  - 21740
  - 21755
seeds:
  - "127.0.$net.11:21729"
  - "127.0.$net.12:21729"
  - "127.0.$net.13:21729"
bootstrap: $([ "$2" = control ] && echo true || echo false)
data_dir: $([ "$2" = control ] && echo "\"$site/data-$1\"" || echo null)
beat_interval_ms: 1000
bounds:
  grace_s: 4
S
}
start_platform() { # NUMBER ROLE CHECKOUT
  CLEMENTINESAIL_SETTINGS=$site/$2-$1.yaml java -Xmx160m -XX:+UseSerialGC -jar "$3/target/clementinesail.jar" "$2" \
    >> "$site/$2-$1.log" 2>&1 &
  pids[$2-$1]=$!
}
desired() { # VERSION
  printf '{"version":%s,"routes":[{"name":"r","host":"shop.example","path_prefix":"/a/","kind":"idempotent",' "$1"
  printf '"timeout_ms":200,"service":"s"}],"services":[{"name":"s"}]}'
}
put() { # CONTROL_VM VERSION
  desired "$2" > "$site/desired-$2.json"
  [ "$(curl -s -m 5 -L --post301 --post302 -o /dev/null -w '%{http_code}' -H 'Content-Type: application/json' \
    --data-binary "@$site/desired-$2.json" "$(control "$1")/-/Config.Put")" = 200 ]
}
get() { # CONTROL_VM VERSION: read back exactly as sent
  curl -s -m 5 -L "$(control "$1")/-/Config.Get" | cmp -s - "$site/desired-$2.json"
}
in_force() { # ENTRY VERSION: the newest line about the desired state names this version
  grep '"event":"desired state in force"' "$site/entry-$1.log" | tail -1 | grep -q "\"version\":$2[,}]"
}
leads() { # CONTROL_VM: the newest line about its role
  grep '"event":"role"' "$site/control-$1.log" | tail -1 | grep -q '"role":"leader'
}
find_leader() {
  local n
  led=
  for n in 1 2 3; do if leads "$n"; then led=$n; fi; done
  [ -n "$led" ]
}
one_upgrade_of_the_platform() { # FROM TO ORDER...
  local from=$1 to=$2 n m version=1
  shift 2
  site=$work/platform-$(name "$from")-$(name "$to")
  mkdir -p "$site"
  echo "== platform from $(name "$from") to $(name "$to"), control VMs in the order $*"
  declare -A build=()
  for n in 1 2 3; do
    mkdir "$site/data-$n"
    platform_settings "$n" control > "$site/control-$n.yaml"
    sed 's/^bootstrap: true/bootstrap: false/' "$site/control-$n.yaml" > "$site/restart-$n.yaml"
    build[$n]=$from
    start_platform "$n" control "$from"
  done
  for n in 4 5; do platform_settings "$n" entry > "$site/entry-$n.yaml"; done
  start_platform 4 entry "$from"
  start_platform 5 entry "$to"
  check "version 1 is accepted by the $(name "$from") build" eventually 40 put 1 1
  for n in 1 2 3; do cp "$site/restart-$n.yaml" "$site/control-$n.yaml"; done
  for n in "$@"; do
    end TERM "control-$n"
    build[$n]=$to
    start_platform "$n" control "$to"
    check "control-$n, now $(name "$to"), reads version $version back" eventually 40 get "$n" "$version"
    if [ "$n" = "$1" ]; then
      check "a control VM leads" eventually 20 find_leader
      end KILL "control-$led"
      m=$((led % 3 + 1))
      version=2
      check "version 2 is accepted after the leader control-$led ($(name "${build[$led]}")) was killed" \
        eventually 40 put "$m" 2
      start_platform "$led" control "${build[$led]}"
    else
      version=$((version + 1))
      check "version $version is accepted" eventually 40 put "$n" "$version"
    fi
    for m in 1 2 3; do check "control-$m ($(name "${build[$m]}")) reads version $version back" eventually 40 get "$m" "$version"; done
    check "version $version is in force on the $(name "$from") entry VM" eventually 20 in_force 4 "$version"
    check "version $version is in force on the $(name "$to") entry VM" eventually 20 in_force 5 "$version"
  done
  for n in "${!pids[@]}"; do end TERM "$n"; done
}

one_upgrade_of_a_site "$old" "$new" 1 2 3
one_upgrade_of_a_site "$new" "$old" 3 2 1
net=61
one_upgrade_of_the_platform "$old" "$new" 1 2 3
net=62
one_upgrade_of_the_platform "$new" "$old" 3 2 1
echo "$failures checks failed"
test "$failures" = 0
