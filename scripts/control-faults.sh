#!/usr/bin/env bash
# Tests faults of control instances with real processes: a lost disk, a second lost disk right after the first replica was
# repaired, a suspended leader, concurrent changes with the same expected version, and resends to other instances. Runs 17
# daemons on loopback, 5 of them control. Exits with 1 when an accepted change is lost or reverted, or a result differs.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: scripts/control-faults.sh <build folder>}
bin=$build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh

fail() {
    echo "violated: $*" >&2
    exit 1
}
control_field() { operate "$1" GET /v1/status | jq -r ".control.$2"; }
is_voter() { [ "$(control_field "$1" isVoter)" = true ]; }
version_at() { operate "$1" GET /v1/status | jq '.contracts[] | select(.customer == "abyssinia") | .version'; }
has_version() { [ "$(version_at "$1")" = "$2" ]; }
leader_name() {
    local it
    for it in i01 i02 i03 i04 i05; do
        if [ "$it" != "${1:-}" ] && [ "$(control_field "$it" isLeader)" = true ]; then
            echo "$it"
            return
        fi
    done
    return 1
}
# change <instance> <version seen> <change id>: sends the change until it is accepted, and checks the result
change() {
    local code="" reply=""
    local end=$(($(now_ms) + 30000))
    until [ "$code" = 0 ] || [ "$(now_ms)" -gt "$end" ]; do
        reply=$(put_contract_json "$1" "$2" "$3" $((100000 + $2)) || true)
        code=$(jq -r '.code // empty' <<< "$reply" 2> /dev/null || true)
        [ "$code" = 0 ] || sleep 0.2
    done
    [ "$code" = 0 ] || fail "change $3 was not accepted: $reply"
    [ "$(jq .version <<< "$reply")" = $(($2 + 1)) ] || fail "change $3 has another version: $reply"
}
lose_disk() {
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2> /dev/null || true
    rm -rf "$work/data-$1"
    start_instance "$1"
}

start_instances
for it in i01 i02 i03 i04 i05; do wait_for 60 is_voter "$it"; done
change i01 0 first
echo "first change accepted, leader $(leader_name)"

begin=$(now_ms)
lose_disk i02
change i04 1 during-repair
wait_for 60 is_voter i02
repair=$(($(now_ms) - begin))
lose_disk i03
change i05 2 second-loss
wait_for 60 is_voter i03
echo "lost disk of i02: voter again after $repair ms; i03 lost right after, voter again; 2 changes accepted meanwhile"

frozen=$(leader_name)
other=i01
if [ "$frozen" = i01 ]; then other=i02; fi
kill -STOP "${pid_of[$frozen]}"
begin=$(now_ms)
change "$other" 3 while-frozen
echo "leader $frozen frozen: the next change was accepted after $(($(now_ms) - begin)) ms"
sleep 10
term=$(control_field "$other" term)
kill -CONT "${pid_of[$frozen]}"
wait_for 30 has_version "$frozen" 4
sleep 3
[ "$(control_field "$other" term)" = "$term" ] || fail "the return of the frozen leader changed the term"

put_contract_json i01 4 race-a 200001 > "$work/race-a" &
race=$!
put_contract_json i02 4 race-b 200002 > "$work/race-b"
wait "$race"
codes=$(jq -s -c 'map(.code) | sort' "$work/race-a" "$work/race-b")
[ "$codes" = "[0,300]" ] || fail "two changes with equal versions ended with $codes"

reply=$(put_contract_json i05 0 first 100000)
[ "$(jq -c '[.code, .version]' <<< "$reply")" = "[0,1]" ] || fail "the resend of the first change has another result: $reply"

for it in "${entries[@]}"; do wait_for 15 has_version "$it" 5; done
echo "race with equal versions: one accepted, one conflict; resend of the first change: first result; version 5 at all 17 entries"
