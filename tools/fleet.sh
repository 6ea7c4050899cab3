#!/usr/bin/env bash
# Starts a small fleet of separate processes on loopback for manual tests: simulated log, instance list,
# engines and service, two entries, four sides beside model engines, and one side beside a plain service.
# Ctrl-C stops them all.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly program=bin/sardinerock
readonly log=127.0.0.1:9000 instances=127.0.0.1:9001
readonly engines=4
folder=$(mktemp -d)
pids=()

finish() {
  # Wait until all processes have exited after SIGTERM, so that none is left running.
  kill "${pids[@]}" 2>/dev/null || true
  wait
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 0' INT TERM

start() {
  local name=$1
  shift
  "$program" "$@" >"$folder/$name.out" 2>"report/fleet/$name.log" &
  pids+=($!)
}

# instance prints one instance of the instance list as a JSON object.
instance() {
  printf '{"id":"%s","role":"%s","region":"region1","zone":"%s","address":"%s","service":"%s"}' "$@"
}

mkdir -p report/fleet
{
  printf '{"instances":['
  for i in 1 2; do instance "entry$i" entry "zone$i" "127.0.0.1:809$i" ""; printf ,; done
  for i in $(seq $engines); do instance "side$i" side "zone$((i % 3 + 1))" "127.0.0.1:930$i" ""; printf ,; done
  instance portal1 side zone1 127.0.0.1:9310 portal
  printf ']}'
} >"$folder/instances.json"

start log standin log --address $log
start instances standin instances --address $instances --preset "$folder/instances.json"
for i in $(seq $engines); do
  start "engine$i" standin engine --address "127.0.0.1:910$i" \
    --knobs '{"slots":8,"stepUs":15000,"prefillTokensPerSecond":8000,"cacheBlocks":4096}'
  start "side$i" side --id "side$i" --zone "zone$((i % 3 + 1))" --address "127.0.0.1:930$i" \
    --engine-url "http://127.0.0.1:910$i" --instances-url "http://$instances"
done
start service standin service --address 127.0.0.1:9110 --name portal
start portal1 side --id portal1 --zone zone1 --address 127.0.0.1:9310 \
  --service-name portal --service-url http://127.0.0.1:9110 --instances-url "http://$instances"
for i in 1 2; do
  start "entry$i" entry --id "entry$i" --zone "zone$i" --caller-address "127.0.0.1:808$i" \
    --peer-address "127.0.0.1:809$i" --log-url "http://$log" --instances-url "http://$instances"
done

export SARDINEROCK_ENTRY=http://127.0.0.1:8081 SARDINEROCK_TOKEN=operator-token
for _ in $(seq 50); do
  if "$program" publish examples/bundle.yaml 2>"$folder/publish.err"; then break; fi
  sleep 0.2
done
cat <<'TEXT'
Entries: http://127.0.0.1:8081 and http://127.0.0.1:8082
Tokens:  supervisor-token, clerk-token, operator-token
Logs:    report/fleet/
Ctrl-C stops all processes.
TEXT
wait
