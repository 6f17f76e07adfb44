#!/usr/bin/env bash
# Prints the latency that entries add to a call and their CPU time per call, for each round and as medians over the rounds.
# Starts 17 instances on loopback as in demo.sh. Two runs with the same lock file alternate after each round, so that two
# builds can be compared under the same conditions.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/latency.sh <build folder> [rounds] [lock file]}
rounds=${2:-5}
lock_file=${3:-}
bin=$build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
target_us=340
idle_seconds=3
cpu_rate=2000
cpu_calls=8000
ticks_per_second=$(getconf CLK_TCK)

all_cpu_ticks() {
    local it sum=0
    for it in "${entries[@]}"; do sum=$((sum + $(cpu_ticks "$it"))); done
    echo "$sum"
}

median() { sort -n | awk '{ v[NR] = $1 } END { print (NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2) }'; }

# Prints: added p50 and p99 in us, CPU in us per call, CPU of an idle instance in % of a core, wrong bodies, unanswered calls.
measure_round() { # <seed>
    run_light_load "$1"
    local begin=$(now_ms) ticks=$(all_cpu_ticks)
    sleep "$idle_seconds"
    local idle_ticks=$(($(all_cpu_ticks) - ticks)) idle_ms=$(($(now_ms) - begin))
    begin=$(now_ms)
    ticks=$(all_cpu_ticks)
    "$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer=abyssinia --services=order-desk,dispatch --threads=16 \
        --rate="$cpu_rate" --calls="$cpu_calls" --seconds=30 --action_permille=200 --seed="$(($1 + 2))" > "$work/cpu.json"
    local load_ticks=$(($(all_cpu_ticks) - ticks)) load_ms=$(($(now_ms) - begin))
    jq -rs --argjson p50 "$(added_latency p50)" --argjson p99 "$(added_latency p99)" --argjson hz "$ticks_per_second" \
        --argjson idle "$idle_ticks" --argjson idleMs "$idle_ms" --argjson load "$load_ticks" --argjson loadMs "$load_ms" --argjson n "${#entries[@]}" '
        (.[2].calls) as $calls
        | [$p50, $p99, ((($load - $idle * $loadMs / $idleMs) / $hz * 1e6 / $calls) | round),
           (($idle / $hz / $idleMs * 1e5 / $n * 1000 | round) / 1000),
           (.[0].wrongBodies + .[2].wrongBodies), ([.[] | .calls - (.outcomes.answered // 0)] | add)] | @tsv' \
        "$work/light.json" "$work/direct.json" "$work/cpu.json"
}

start_instances
wait_for 60 put_contract i01 0 first 100000
for n in 1 2 3 4 5 6; do start_server "desk-$n" order-desk "dc$(((n - 1) % 3 + 1))" --service_time_us=1000 --distribution=fixed --seed="$n"; done
for n in 1 2 3 4 5; do start_server "dispatch-$n" dispatch "dc$(((n - 1) % 3 + 1))" --service_time_us=1000 --distribution=fixed --seed="1$n"; done
for it in "${entries[@]}"; do
    wait_for 60 has_serving "$it" 17
    wait_for 20 knows_servers "$it" 11
done

if [ -n "$lock_file" ]; then exec 9> "$lock_file"; fi
for ((round = 1; round <= rounds; round++)); do
    if [ -n "$lock_file" ]; then flock 9; fi
    line=$(measure_round $((10 * round)))
    echo "$line" >> "$work/rounds"
    load_average=$(cut -d' ' -f1 /proc/loadavg)
    if [ -n "$lock_file" ]; then
        flock -u 9
        sleep 1 # lets the other run acquire the lock
    fi
    awk -v build="$build" -v round="$round" -v busy="$load_average" '
        { printf "%s round %d: added p50 %d us, p99 %d us; CPU %d us per call; idle CPU %.2f%% of a core per instance; wrong bodies %d, not answered %d; load average %s\n",
          build, round, $1, $2, $3, $4, $5, $6, busy }' <<< "$line"
done
echo "$build median of $rounds rounds: added p50 $(cut -f1 "$work/rounds" | median) us, p99 $(cut -f2 "$work/rounds" | median) us (target $target_us us);" \
    "CPU $(cut -f3 "$work/rounds" | median) us per call at $cpu_rate calls/s over all; idle CPU $(cut -f4 "$work/rounds" | median)% of a core per instance"
