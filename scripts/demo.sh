#!/usr/bin/env bash
# Runs the Abyssinia example on loopback under load, while a server drains, a contract changes, an entry stops gracefully
# and another one is killed. Prints the measurements. Exits with 1 when a property of the design page is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/demo.sh <build folder>}
bin=$build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh

violations=0
violated() {
    echo "VIOLATED: $*"
    violations=$((violations + 1))
}

# load <output> <actions file> [arguments]: runs the load generator with the entries in ${entries[@]}
load() {
    local out=$1 actions=$2
    shift 2
    "$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer=abyssinia --services=order-desk,dispatch \
        --actions_file="$actions" "$@" > "$out"
}

counts() { curl -s --max-time 5 "http://${address_of[$1]}/standin/counts"; }

echo "starting 17 instances in 3 data centres, 5 of them control"
start_instances
wait_for 60 put_contract i01 0 first 100000
for n in 1 2 3 4 5 6; do start_server "desk-$n" order-desk "dc$(((n - 1) % 3 + 1))" --service_time_us=1000 --distribution=fixed --seed="$n"; done
for n in 1 2 3 4 5; do start_server "dispatch-$n" dispatch "dc$(((n - 1) % 3 + 1))" --service_time_us=1000 --distribution=fixed --seed="1$n"; done
for it in "${entries[@]}"; do
    wait_for 60 has_serving "$it" 17
    wait_for 20 knows_servers "$it" 11
done

echo "added latency: the same light load through entries and directly to servers, at the same time"
run_light_load 2

echo "main load: lookups and actions; meanwhile a server drains, the contract changes and an entry stops gracefully"
load "$work/main.json" "$work/main.actions" --threads=12 --rate=800 --calls=24000 --seconds=60 --action_permille=300 --seed=4 &
main_pid=$!
sleep 3
operate i09 POST /v1/servers/desk-2/drain > "$work/drain.json"
sleep 2
after_bound=$(counts desk-2 | jq .total)
sleep 2
after_pause=$(counts desk-2 | jq .total)
kill -TERM "${pid_of[dispatch-3]}"
server_begin=$(now_ms)
wait "${pid_of[dispatch-3]}"
server_drain=$(($(now_ms) - server_begin))

put_contract i07 1 second 120000 > "$work/change.out"
accepted=$(now_ms)
has_version() { [ "$(operate "$1" GET /v1/status | jq '.contracts[0].version')" = 2 ]; }
for it in "${entries[@]}"; do wait_for 20 has_version "$it"; done
change_time=$(($(now_ms) - accepted))

entry_begin=$(now_ms)
kill -TERM "${pid_of[i08]}"
sleep 0.2
kill -TERM "${pid_of[i08]}"
entry_exit=0
wait "${pid_of[i08]}" || entry_exit=$?
entry_stop=$(($(now_ms) - entry_begin))
wait "$main_pid"
remaining=()
for it in "${entries[@]}"; do
    if [ "$it" != i08 ]; then remaining+=("$it"); fi
done
entries=("${remaining[@]}")

echo "second load: an entry is killed with SIGKILL"
load "$work/kill.json" "$work/kill.actions" --threads=12 --rate=800 --calls=8000 --seconds=30 --action_permille=300 --seed=5 &
kill_pid=$!
sleep 3
kill -KILL "${pid_of[i12]}"
wait "${pid_of[i12]}" 2> /dev/null || true
wait "$kill_pid"

# Number of executions per action key, as counted by all servers.
for it in "${servers[@]}"; do
    if kill -0 "${pid_of[$it]}" 2> /dev/null; then counts "$it" > "$work/$it.counts"; fi
    jq -r '.executions | to_entries[] | "\(.key) \(.value)"' "$work/$it.counts"
done > "$work/executions"
cat "$work/light.actions" "$work/main.actions" "$work/kill.actions" > "$work/actions"
# Lines: outcome, executions, number of keys.
awk 'NR == FNR { runs[$1] += $2; next } { n[$2 " " runs[$1] + 0]++ } END { for (it in n) print it, n[it] }' "$work/executions" "$work/actions" | sort > "$work/table"

echo
echo "calls by outcome:"
for it in light main kill; do echo "  $it: $(jq -c '{calls, outcomes, codes, wrongBodies}' "$work/$it.json")"; done
echo "actions (outcome, executions, keys):"
sed 's/^/  /' "$work/table"
echo "latency, light load: direct p50 $(jq .latencyUs.p50 "$work/direct.json") us, p99 $(jq .latencyUs.p99 "$work/direct.json") us;" \
    "through entries p50 $(jq .latencyUs.p50 "$work/light.json") us, p99 $(jq .latencyUs.p99 "$work/light.json") us"
echo "added by the entry: p50 $(added_latency p50) us, p99 $(added_latency p99) us (target: 340 us for 99 in 100 calls)"
echo "contract change: $(head -1 "$work/change.out"), in force at the last of 17 entries $change_time ms after acceptance (bound 7,000 ms)"
echo "drain by an operator: executions $after_bound after 2 s, $after_pause after 4 s"
echo "drain answer: $(cat "$work/drain.json")"
echo "drain of a server by SIGTERM: ended after $server_drain ms"
echo "graceful stop of an entry: ended after $entry_stop ms with exit code $entry_exit (max-age is 10 s), SIGTERM sent twice"

for it in light main kill; do
    if [ "$(jq .wrongBodies "$work/$it.json")" != 0 ]; then violated "P2: wrong bodies in load $it"; fi
done
if awk '$2 > 1 { bad = 1 } END { exit !bad }' "$work/table"; then violated "P4: an action ran more than once"; fi
if awk '$1 == "not-run" && $2 > 0 { bad = 1 } END { exit !bad }' "$work/table"; then violated "P3: an action that was told not run has run"; fi
if awk '$1 == "answered" && $2 != 1 { bad = 1 } END { exit !bad }' "$work/table"; then violated "an answered action has not run once"; fi
if [ "$after_bound" != "$after_pause" ]; then violated "P5: a draining server got work after 2 s"; fi
if [ "$(jq '.outcomes.lost // 0' "$work/main.json")" != 0 ]; then violated "P6: calls were lost in planned stops"; fi
if [ "$entry_exit" != 0 ]; then violated "P6: the stopped entry exited with $entry_exit"; fi
if [ "$change_time" -gt 7000 ]; then violated "P7: the contract change took $change_time ms"; fi
if [ "$(jq '.outcomes.answered // 0' "$work/main.json")" -lt 20000 ]; then violated "fewer than 20,000 of 24,000 calls were answered"; fi
if [ "$violations" -gt 0 ]; then
    echo "$violations violations"
    exit 1
fi
echo "no violation seen in this run"
