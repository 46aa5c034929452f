#!/usr/bin/env bash
# Builds bergamotwind, starts stand-ins and nodes in three failure domains on loopback, and serves real requests.
#
#   ./quickstart.sh              leaves everything running until Ctrl-C
#   ./quickstart.sh --once       stops everything again; exits with 0 only if every answer was whole
#   ./quickstart.sh --no-build   uses what has been built before
set -euo pipefail
cd "$(dirname "$0")"

once=no
build=yes
for argument in "$@"; do
    case "$argument" in
        --once) once=yes ;;
        --no-build) build=no ;;
        *) echo "usage: $0 [--once] [--no-build]" >&2; exit 2 ;;
    esac
done

run_directory=$(mktemp -d)
processes=()
stop_all() {
    # Nodes stop gracefully and need the platform for it, so they are stopped first.
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
    rm -rf "$run_directory"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

if [ "$build" = yes ]; then
    mvn --batch-mode --quiet -T 4 -DskipTests package
fi

node_jar=bergamotwind-node/target/bergamotwind-node.jar
stand_in_jar=bergamotwind-test/target/bergamotwind-test.jar
operate() { java -XX:TieredStopAtLevel=1 -jar bergamotwind-cli/target/bergamotwind.jar "$@"; }
ask() { java -XX:TieredStopAtLevel=1 -jar "$stand_in_jar" ask "$@"; }
start() {
    local name=$1
    shift
    java -Xmx256m "$@" >"$run_directory/$name.log" 2>&1 &
    processes=("$!" "${processes[@]}")
}
wait_until() {
    local what=$1 tries=0
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 240 ]; then
            echo "waited in vain until $what; the logs are:" >&2
            tail -n 20 "$run_directory"/*.log >&2
            exit 1
        fi
        sleep 0.25
    done
}
is_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
is_ready() { exec 3<>"/dev/tcp/127.0.0.1/$1" && printf 'GET /health/ready HTTP/1.0\r\n\r\n' >&3 && grep -q '200 OK' <&3; }

platform_port=17900
domains=(lowlands highlands borders)
credential=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
secret=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
key=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

echo "== starting the stand-ins for the platform, three engines and a plain service"
start platform -jar "$stand_in_jar" platform --port "$platform_port"
for index in 0 1 2; do
    start "engine-$index" -jar "$stand_in_jar" engine --id "engine-${domains[$index]}" --port "1791$index" \
        --memory 40000 --token-delay 5
done
start orders -jar "$stand_in_jar" service --id orders-lowlands --port 17920
start stock -jar "$stand_in_jar" service --id stock-borders --port 17921
wait_until "the platform listens" is_open "$platform_port"

echo "== starting one node in each of the failure domains ${domains[*]}"
for index in 0 1 2; do
    cat >"$run_directory/node-$index.toml" <<SETTINGS
vm = "vm-$index"
failure_domain = "${domains[$index]}"
region = "${domains[$index]}"

[listen]
addresses = ["127.0.0.1"]
caller_port = 1800$index
administration_port = 1810$index
peer_port = 1820$index

[platform]
key_value_service = ["127.0.0.1:$platform_port"]
virtual_machine_list = ["127.0.0.1:$platform_port"]

[administration]
credential_sha256 = "$(digest "$credential")"

[peers]
shared_secret = "$secret"
addresses = ["127.0.0.1:18200", "127.0.0.1:18201", "127.0.0.1:18202"]

[limits]
balancer_lag_milliseconds = 200
SETTINGS
    operate settings check "$run_directory/node-$index.toml"
    start "node-$index" -jar "$node_jar" --settings "$run_directory/node-$index.toml"
done
for index in 0 1 2; do wait_until "node $index is ready" is_ready "1800$index"; done

export BERGAMOTWIND_NODES=http://127.0.0.1:18100,http://127.0.0.1:18101,http://127.0.0.1:18102
export BERGAMOTWIND_CREDENTIAL=$credential

echo "== configuring failure domains, teams, keys, models, routes and targets"
for domain in "${domains[@]}"; do operate domain put "$domain" --region "$domain"; done
operate sheet apply samples/quickstart/planning-sheet.csv
operate key put "$(digest "$key")" --team lowland-refinish
for index in 0 1 2; do
    operate target put "engine-${domains[$index]}" --kind engine --domain "${domains[$index]}" \
        --address "127.0.0.1:1791$index" --memory 40000 --accelerators 1
done
operate target put orders-lowlands --kind service --domain lowlands --address 127.0.0.1:17920 --route orders
operate target put stock-borders --kind service --domain borders --address 127.0.0.1:17921 --route stock

echo "== waiting until placement has loaded the models"
for index in 0 1 2; do
    wait_until "node $index serves shade" ask --url "http://127.0.0.1:1800$index" --key "$key" --model shade "ready?"
done
wait_until "the adapter is loaded" ask --url "http://127.0.0.1:18000" --key "$key" --model shade:metallic "ready?"

echo "== asking models and a plain service through all nodes"
ask --url http://127.0.0.1:18000 --key "$key" --model shade "Which shade is paint code 4711?"
ask --url http://127.0.0.1:18001 --key "$key" --model shade:metallic --stream "Which shade is paint code 4711?" \
    | tee "$run_directory/streamed"
ask --url http://127.0.0.1:18002 --key "$key" --model mixing-notes "How is shade 12 mixed?"
ask --url http://127.0.0.1:18001 --path /services/stock/kits "stock check without a key"
ask --url http://127.0.0.1:18000 --key "$key" --path /services/orders/kits --idempotency-key order-1 "one kit"
ask --url http://127.0.0.1:18002 --key "$key" --path /services/orders/kits --idempotency-key order-1 "one kit" \
    | tee "$run_directory/repeated"
grep -q '"executions":1' "$run_directory/repeated" || { echo "the repeated order ran twice" >&2; exit 1; }

echo "== the time line of the streamed request, over all nodes"
request=$(sed -n 's/.*request=\([0-9a-f-]*\).*/\1/p' "$run_directory/streamed" | head -n 1)
operate timeline --request "$request" | tee "$run_directory/time-line"
grep -q 'event=request.sent .*target=' "$run_directory/time-line" || { echo "the time line is not complete" >&2; exit 1; }
operate status

echo "== every answer was whole"
if [ "$once" = no ]; then
    echo "callers:    http://127.0.0.1:18000 to :18002, key $key"
    echo "operators:  http://127.0.0.1:18100 to :18102, credential $credential, documentation at /documentation"
    echo "Ctrl-C stops everything."
    wait
fi
