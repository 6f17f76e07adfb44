#!/usr/bin/env bash
# Prints how long an accepted contract change takes until it is in force at the last of 17 entries. The time of acceptance
# is when the operator's request returned; the time in force is that of the entry's log line. Both are from the same machine's
# clock.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/propagation.sh <build folder> [changes]}
changes=${2:-100}
bin=$build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
log_threshold=info

start_instances
wait_for 60 put_contract i01 0 first 100000
for it in "${entries[@]}"; do wait_for 60 has_serving "$it" 17; done

for n in $(seq 2 $((changes + 1))); do
    # Spread the changes randomly over the interval at which the entries poll.
    sleep "0.$(printf '%03d' $((RANDOM % 600)))"
    reply=$(put_contract_json i01 $((n - 1)) "change-$n" $((100000 + n)))
    if [ "$(jq .code <<< "$reply")" != 0 ]; then
        echo "change $n was not accepted: $reply" >&2
        exit 1
    fi
    echo "$n $(now_ms)" >> "$work/accepted"
done
sleep 8 # the bound is 7 s

for it in "${entries[@]}"; do
    sed -n 's/^time=\([^ ]*\) .*event="contract in force" .*version=\([0-9]*\).*/\1 \2/p' "$work/$it.err" | while read -r time version; do
        echo "$it $version $(date -u -d "$time" +%s%3N)"
    done
done > "$work/in-force"

# A change is in force at an entry as soon as the entry has the version of the change or a newer one.
awk 'NR == FNR { accepted[$1] = $2; next }
    { for (n = reached[$1] + 1; n <= $2; ++n) { if (n in accepted) { lag = $3 - accepted[n]; ++seen[n]; if (seen[n] == 1 || lag > last[n]) last[n] = lag } }
      if ($2 > reached[$1]) reached[$1] = $2 }
    END { for (n in accepted) print seen[n] + 0, last[n] }' "$work/accepted" "$work/in-force" > "$work/lags"
if awk '$1 != 17 { missing = 1 } END { exit !missing }' "$work/lags"; then
    echo "a change is not in force at every entry after 8 s" >&2
    exit 1
fi
sort -k2 -n "$work/lags" | awk '{ lag[NR] = $2 }
    function at(q, n) { n = int(q * NR + 0.9999); return lag[n < 1 ? 1 : n] }
    END { printf "%d changes at 17 entries: time from acceptance to the last entry p50 %d ms, p90 %d ms, p99 %d ms, largest %d ms (bound 7000 ms)\n",
          NR, at(0.5), at(0.9), at(0.99), lag[NR] }'
