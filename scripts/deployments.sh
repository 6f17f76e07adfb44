#!/usr/bin/env bash
# Runs both example deployments on loopback, one after the other: 17 instances with the settings of the example, 5 of them
# control, the example's contract, and as many stand-in servers as the deployment has. Under load, the 12 instances
# without control stop gracefully; the others stop after the load. Exits with 1 when a call was lost or a stop failed, when a
# response body was wrong, or when fewer than 95% of the calls were answered.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/deployments.sh <build folder>}
bin=$build/bin
if [ -z "${2:-}" ]; then
    # Each deployment runs in a shell of its own, which kills the processes that it has started when it exits.
    "$0" "$build" abyssinia
    "$0" "$build" odalaigh
    exit 0
fi
deployment=$2
failures=()
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh

# Overrides the function of cluster.sh.
write_settings() { # <name> <data centre> <peer address> <control: yes or no>
    write_example_settings "$deployment" "$@"
}

put_example_contract() {
    "$bin/galenabarrowctl" --addresses="${operators_of[i01]}" --token_file="$work/token" --expect=0 --change_id=first --rounds=1 \
        contract put "examples/$deployment/contract.json"
}

stop_all() { # <instances>: stops them concurrently
    local it
    for it in "$@"; do kill -TERM "${pid_of[$it]}"; done
    for it in "$@"; do
        wait "${pid_of[$it]}" || failures+=("$it exited with $?")
    done
}

# run_deployment <service> <servers> <slots> <service> <servers> <slots> <idempotent path> <calls per second>
run_deployment() {
    local first=$1 second=$4 path=$7 rate=$8 n it
    local customer
    customer=$(jq -r .customer "examples/$deployment/contract.json")
    declare -A servers_of=([$1]=$2 [$4]=$5) slots_of=([$1]=$3 [$4]=$6)
    begin=$(now_ms)
    start_instances
    wait_for 60 put_example_contract
    local services
    services=$(jq -r '[.services[].service] | join(",")' "examples/$deployment/contract.json")
    for it in "$first" "$second"; do
        for n in $(seq 1 "${servers_of[$it]}"); do
            start_server "$it-$n" "$it" "dc$(((n - 1) % 3 + 1))" --slots="${slots_of[$it]}" --service_time_us=5000 --seed="$n"
        done
    done
    for it in "${entries[@]}"; do
        wait_for 60 has_serving "$it" 17
        wait_for 60 knows_servers "$it" $(($2 + $5))
    done
    echo "$deployment: 17 instances, $(($2 + $5)) servers, contract in force after $(($(now_ms) - begin)) ms"

    "$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer="$customer" --services="$services" --threads=4 \
        --rate="$rate" --calls=$((rate * 25)) --seconds=60 --deadline_ms=2000 --action_permille=200 --lookup_path="$path" --seed=7 > "$work/load.json" &
    local load_pid=$!
    sleep 3
    begin=$(now_ms)
    stop_all i06 i07 i08 i09 i10 i11 i12 i13 i14 i15 i16 i17
    echo "$deployment: 12 instances stopped under load within $(($(now_ms) - begin)) ms"
    wait "$load_pid"
    jq -c '{calls, outcomes, codes, wrongBodies}' "$work/load.json"
    stop_all i01 i02 i03 i04 i05
    if [ "$(jq '.outcomes.lost // 0' "$work/load.json")" != 0 ]; then failures+=("calls were lost"); fi
    if [ "$(jq .wrongBodies "$work/load.json")" != 0 ]; then failures+=("responses with wrong bodies"); fi
    if [ "$(jq '(.outcomes.answered // 0) * 100 / .calls | floor' "$work/load.json")" -lt 95 ]; then failures+=("fewer than 95% answered"); fi
}

case $deployment in
abyssinia) run_deployment order-desk 17 3 dispatch 16 3 /stock 60 ;;
odalaigh) run_deployment dressing-floor 15 2 mill-accounts 15 2 /patterns 30 ;;
*)
    echo "unknown deployment: $deployment" >&2
    exit 2
    ;;
esac
if [ ${#failures[@]} -gt 0 ]; then
    printf 'failed: %s\n' "${failures[@]}" >&2
    exit 1
fi
