#!/usr/bin/env bash
# Runs 17 entries and the servers of a deployment without calls, and prints the share of the time of all slots that probes
# took, as measured by the servers. Exits with 1 when it exceeds the budget.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/probecost.sh <build folder> abyssinia|odalaigh [seconds]}
bin=$build/bin
seconds=${3:-40}
case ${2:?usage: scripts/probecost.sh <build folder> abyssinia|odalaigh [seconds]} in
abyssinia) count=33 slots=3 permille=5 ;;
odalaigh) count=30 slots=2 permille=2.5 ;;
*) exit 2 ;;
esac
extra_settings=$'[measuring]\n'"budget_permille = $permille"$'\n'
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh

probe_counts() { # prints the number of probes and their total time in microseconds, summed over all servers
    local it
    for it in "${servers[@]}"; do curl -s --max-time 5 "http://${address_of[$it]}/standin/counts"; done |
        jq -s -r '"\(map(.probes) | add) \(map(.probeUs) | add)"'
}
metric() { # <name>: prints its sum over all entries
    local it
    for it in "${entries[@]}"; do operate "$it" GET /metrics; done | awk -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

start_instances
wait_for 60 put_contract i01 0 first 100000
for n in $(seq 1 "$count"); do start_server "s$n" order-desk "dc$(((n - 1) % 3 + 1))" --slots="$slots" --probe_time_us=6000 --lifetime_s=300; done
for it in "${entries[@]}"; do
    wait_for 60 has_serving "$it" 17
    wait_for 20 knows_servers "$it" "$count"
done
# A changed share of the budget takes effect 10 s after its cause.
sleep 20
read -r probes_before us_before < <(probe_counts)
begin=$(now_ms)
sleep "$seconds"
read -r probes us < <(probe_counts)
elapsed=$(($(now_ms) - begin))
awk -v probes=$((probes - probes_before)) -v us=$((us - us_before)) -v ms="$elapsed" -v slots=$((count * slots)) -v budget="$permille" 'BEGIN {
    share = us / (ms * slots)
    printf "%d probes, %.1f ms of server time in %.1f s over %d slots: %.3f permille of %s\n", probes, us / 1000, ms / 1000, slots, share, budget
    exit share > budget
}'
for it in probes_sent probes_failed probes_suppressed measuring_overruns; do
    echo "$it since the start: $(metric "galenabarrow_${it}_total")"
done
