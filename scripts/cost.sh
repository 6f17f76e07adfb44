#!/usr/bin/env bash
# Prints the resource use of 17 instances on loopback, idle and under load: CPU and resident memory of the started processes
# from /proc/<pid>, and the bytes sent between instances from their metrics.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/cost.sh <build folder> [seconds] [calls per second]}
seconds=${2:-20}
rate=${3:-1000}
bin=$build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
ticks_per_second=$(getconf CLK_TCK)

resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"; }
# read_page <instance> <begin or end>: saves the metrics page for the evaluation below.
read_page() { operate "$1" GET /metrics > "$work/$1.$2.page"; }
peer_bytes() { awk '/^galenabarrow_peer_bytes_total/ { sum += $2 } END { printf "%d", sum }' "$work/$1.$2.page"; }

# print_kinds <title> <instance>: KB/s by message kind and direction, largest first
print_kinds() {
    echo "$1, $2, KB/s by message kind:"
    awk -v ms="$((seconds * 1000))" -F'[" ]' '
        !/^galenabarrow_peer_message_bytes_total/ { next }
        FNR == NR { first[$2 $4] = $NF; next }
        { rate = ($NF - first[$2 $4]) / ms; if (rate > 0) printf "  %.2f %s %s\n", rate, $2, $4 }
    ' "$work/$2.begin.page" "$work/$2.end.page" | sort -rn
}

# measure <title>: prints the mean and the largest value over the instances of each role, and the bytes by message kind of the
# control leader and of one entry
measure() {
    declare -A cpu
    local it begin=$(now_ms)
    for it in "${entries[@]}"; do
        cpu[$it]=$(cpu_ticks "$it")
        read_page "$it" begin
    done
    sleep "$seconds"
    for it in "${entries[@]}"; do
        read_page "$it" end
        local elapsed=$(($(now_ms) - begin))
        local role=entry
        if [[ $it < i06 ]]; then role=entry+control; fi
        echo "$role $(($(cpu_ticks "$it") - ${cpu[$it]})) $(resident_kb "$it") $(($(peer_bytes "$it" end) - $(peer_bytes "$it" begin))) $elapsed"
    done | awk -v hz="$ticks_per_second" -v title="$1" '
        { c = 100 * $2 / hz / ($5 / 1000); m = $3 / 1024; b = $4 / ($5 / 1000) / 1000; n[$1]++
          cs[$1] += c; ms[$1] += m; bs[$1] += b
          if (c > cm[$1]) cm[$1] = c; if (m > mm[$1]) mm[$1] = m; if (b > bm[$1]) bm[$1] = b }
        END { for (it in n) printf "%s, %d %s: CPU mean %.2f%% largest %.2f%% of a core (3.4%%); memory mean %.1f largest %.1f MB (128); bytes sent and received mean %.2f largest %.2f KB/s (5)\n",
              title, n[it], it, cs[it] / n[it], cm[it], ms[it] / n[it], mm[it], bs[it] / n[it], bm[it] }' | sort
    local leader=$(operate i01 GET /v1/status | jq -r .control.leader)
    print_kinds "$1" "$leader"
    print_kinds "$1" i17
}

start_instances
wait_for 60 put_contract i01 0 first 100000
for n in 1 2 3; do start_server "desk-$n" order-desk "dc$n" --service_time_us=2000; done
for n in 1 2 3; do start_server "dispatch-$n" dispatch "dc$n" --service_time_us=2000; done
for it in "${entries[@]}"; do wait_for 60 has_serving "$it" 17; done
# Wait until the entries have switched back to the control instance that they chose at the start.
sleep 30
measure "idle"
"$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer=abyssinia --services=order-desk,dispatch --threads=16 --rate="$rate" \
    --calls=10000000 --seconds=$((seconds + 10)) --action_permille=200 > "$work/load.json" &
load_pid=$!
sleep 3
measure "$rate calls/s over all"
wait "$load_pid"
jq -c '{calls, seconds, outcomes}' "$work/load.json"
