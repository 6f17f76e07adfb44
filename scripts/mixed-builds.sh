#!/usr/bin/env bash
# Runs processes of two builds together, as in a rolling upgrade and in a rollback: three core daemons and two entries on
# loopback, first all of the old build, then some of each build, then the other way round. Each run starts with the data
# folders that the previous run has written. Checks that all processes start, that accepted contracts and configurations
# are kept, that changes sent to either build are accepted and in force everywhere, that processes of each build are elected
# leader, and that requests are answered. Exits with 1 when a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
old_build=$(realpath "${1:?usage: scripts/mixed-builds.sh <old build folder> <new build folder>}")
new_build=$(realpath "${2:?usage: scripts/mixed-builds.sh <old build folder> <new build folder>}")
if [ -z "${3:-}" ]; then
    # Each part runs in a shell of its own, which kills the processes that it has started when it exits.
    "$0" "$old_build" "$new_build" examples
    "$0" "$old_build" "$new_build" platform
    exit 0
fi
part=$3
bin=$new_build/bin
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh

core=(c1 c2 c3)
instances=(c1 c2 c3 e1 e2)
declare -A build_of data_centre_of=([c1]=dc1 [c2]=dc2 [c3]=dc3 [e1]=dc1 [e2]=dc2)
version=0     # of the last accepted contract or configuration

fail() {
    echo "failed: $*" >&2
    exit 1
}
set_builds() { # <build of c1> <c2> <c3> <e1> <e2>: old or new
    local it
    for it in "${instances[@]}"; do
        build_of[$it]=$1
        shift
    done
}
folder_of() { if [ "${build_of[$1]}" = old ]; then echo "$old_build"; else echo "$new_build"; fi; }
stop_all() {
    local it
    for it in "${instances[@]}"; do kill -TERM "${pid_of[$it]}"; done
    for it in "${instances[@]}"; do wait "${pid_of[$it]}" || fail "$it (${build_of[$it]}) exited with $?"; done
}
# Prints the name of the core daemon that reports itself as the leader.
leader_name() { # [daemon that is left out]
    local it
    for it in "${core[@]}"; do
        if [ "$it" != "${1:-}" ] && is_leader "$it"; then
            echo "$it"
            return
        fi
    done
    return 1
}
# Kills leaders until a daemon of the given build is elected, because the winner of an election is random.
elect() { # <old or new>
    local tries leader
    for tries in $(seq 1 25); do
        wait_for 30 leader_name || fail "no leader"
        leader=$(leader_name) || continue
        if [ "${build_of[$leader]}" = "$1" ]; then
            echo "$part: $leader ($1) leads after $((tries - 1)) ended leaders"
            return
        fi
        kill -KILL "${pid_of[$leader]}"
        wait "${pid_of[$leader]}" 2> /dev/null || true
        wait_for 30 leader_name "$leader" || fail "no leader after $leader was ended"
        start "$leader"
        wait_for 60 is_voter "$leader" || fail "$leader is not a voter again"
    done
    fail "no daemon of the $1 build was elected"
}
# Sends a change to each core daemon, once with a leader of each build.
change_under_both() {
    local build it
    for build in old new; do
        elect "$build"
        for it in "${core[@]}"; do
            wait_for 30 change "$it" || fail "$it (${build_of[$it]}) accepted no change while a leader was ${build}"
            version=$((version + 1))
            check_in_force
        done
    done
}
check_in_force() {
    local it
    for it in "${instances[@]}"; do
        wait_for 20 has_version "$it" "$version" || fail "$it (${build_of[$it]}) has not version $version in force"
    done
}

# Functions of the part "examples": the product's own interface, with the settings of an example.

deployment=abyssinia
contract_file=examples/$deployment/contract.json

prepare_examples() {
    local it roles
    printf 'key-of-the-mixed-run-%s' "$RANDOM$RANDOM$RANDOM" > "$work/key"
    printf '%s' "$token" > "$work/token"
    : > "$work/replicas"
    declare -A peer
    for it in "${core[@]}"; do
        free_port
        peer[$it]="127.0.0.1:$found_port"
        printf '[[control.replicas]]\ninstance = "%s"\ndata_centre = "%s"\npeer_address = "%s"\n' "$it" "${data_centre_of[$it]}" "${peer[$it]}" >> "$work/replicas"
    done
    for it in "${instances[@]}"; do
        if [[ $it == c* ]]; then roles=yes; else roles=no; fi
        write_example_settings "$deployment" "$it" "${data_centre_of[$it]}" "${peer[$it]:-127.0.0.1:0}" "$roles"
    done
}
start_example() {
    bin=$(folder_of "$1")/bin
    start_instance "$1"
    bin=$new_build/bin
}
control_field() { operate "$1" GET /v1/status | jq -r ".control.$2"; }
example_is_leader() { [ "$(control_field "$1" isLeader)" = true ]; }
example_is_voter() { [ "$(control_field "$1" isVoter)" = true ]; }
example_has_version() { [ "$(operate "$1" GET /v1/status | jq '.contracts[0].version')" = "$2" ]; }
put_example() { # <instance> <version seen> <change id>; prints code and version
    jq --argjson rate $((100000 + $2)) '.ratePerSecond = $rate | .burst = $rate | .concurrency = $rate' "$contract_file" > "$work/contract-$1.json"
    operate "$1" PUT "/v1/contracts/$(jq -r .customer "$contract_file")" -H "If-Match: $2" -H "Galenabarrow-Change-Id: $3" \
        --data-binary "@$work/contract-$1.json" | jq -c '[.code, .version]'
}
# The change id depends only on the change, so that a retry after a lost answer resends the same change.
example_change() { [ "$(put_example "$1" "$version" "change-$version-$1")" = "[0,$((version + 1))]" ]; }
example_requests() {
    local n pid
    entries=("${instances[@]}")
    servers=()
    for n in 1 2 3; do start_server "desk-$n" order-desk "dc$n" --service_time_us=1000 --distribution=fixed --seed="$n"; done
    for n in "${instances[@]}"; do
        wait_for 60 has_serving "$n" 5 || fail "$n does not see 5 serving instances"
        wait_for 20 knows_servers "$n" 3 || fail "$n does not know 3 servers"
    done
    "$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer="$(jq -r .customer "$contract_file")" --services=order-desk \
        --threads=4 --rate=200 --calls=2000 --seconds=60 --deadline_ms=2000 --action_permille=300 --seed=3 > "$work/load.json"
    echo "$part: $(jq -c '{calls, outcomes, codes, wrongBodies}' "$work/load.json")"
    [ "$(jq .wrongBodies "$work/load.json")" = 0 ] || fail "responses with wrong bodies"
    [ "$(jq '.outcomes.answered // 0' "$work/load.json")" = 2000 ] || fail "not all calls were answered"
    for n in "${servers[@]}"; do
        pid=${pid_of[$n]}
        kill -TERM "$pid"
        wait "$pid" || fail "$n exited with $?"
    done
}
example_first_result() {
    [ "$(put_example "$1" 0 "change-0-c1")" = "[0,1]" ] || fail "$1 (${build_of[$1]}) gives the first change another result when it is sent again"
}

# Functions of the part "platform": the roles of deploy/system.toml, with settings as the users' platform writes them.

front_port=28713
prepare_platform() {
    local it n=0 seeds=""
    for it in "${core[@]}"; do seeds+="\"127.0.9.$((n += 1)):28711\","; done
    n=0
    for it in "${instances[@]}"; do
        address_of[$it]=127.0.9.$((n += 1))
        {
            printf 'node_name = "%s"\nip = "%s"\nzone = "%s"\ninternal_ports = [28710,28710]\nseeds = [%s]\n' "$it" "${address_of[$it]}" "${data_centre_of[$it]}" "$seeds"
            echo 'bounds = ["retry_budget_floor=60","grace_s=6"]'
            if [[ $it == c* ]]; then
                mkdir -p "$work/data-$it"
                printf 'bootstrap = true\nserves = ["control","directory"]\ndata_dir = "%s"\n[listen]\ncontrol = "%s:28711"\ndirectory = "%s:28712"\n' \
                    "$work/data-$it" "${address_of[$it]}" "${address_of[$it]}"
            else
                printf 'serves = ["front"]\n[listen]\nfront = "%s:%s"\nready = "%s:28714"\n' "${address_of[$it]}" "$front_port" "${address_of[$it]}"
            fi
            printf '[tolerate]\nmachines = 1\n'
        } > "$work/$it.toml"
    done
    python3 scripts/platform-standin.py 127.0.9.21 28715 > "$work/backend.out" 2>&1 &
    pids+=("$!")
}
start_platform() {
    # Only the first run forms the core.
    [ "$version" = 0 ] || sed -i 's/^bootstrap = true/bootstrap = false/' "$work/$1.toml"
    GALENABARROW_NODE_FILE=$work/$1.toml "$(folder_of "$1")/bin/galenabarrowd" --platform > "$work/$1.out" 2>> "$work/$1.err" &
    pid_of[$1]=$!
    pids+=("$!")
}
fetch() { curl -s --max-time 2 "$@"; }
metric() { # <daemon> <name>
    local port=28714
    if [[ $1 == c* ]]; then port=28711; fi
    fetch "http://${address_of[$1]}:$port/metrics" | sed -n "s/^$2 //p"
}
platform_is_leader() { [ "$(metric "$1" galenabarrow_core_is_leader)" = 1 ]; }
platform_is_voter() { [ "$(metric "$1" galenabarrow_core_voters)" = 3 ] && [ "$(metric "$1" galenabarrow_core_is_leader_known)" = 1 ]; }
platform_has_version() {
    if [[ $1 == c* ]]; then
        [ "$(fetch "http://${address_of[$1]}:28711/v1/config" | jq -r .version)" = "$(printf '%08x' "$2")" ]
    else
        [ "$(metric "$1" galenabarrow_gateway_config_version)" = "$2" ]
    fi
}
route() { # <name> <path prefix>
    printf '{"host":"a.example","rules":[{"name":"%s","kind":"unsafe","slo_s":0.8,"priority":1,"match":{"path_prefix":"%s"},"action":{"service":"one","timeout_s":2,"max_attempts":2}}]}' "$1" "$2"
}
send_config() { # <daemon> <method> <body>; prints the status
    fetch -o /dev/null -w '%{http_code}' -X "$2" -H 'Content-Type: application/json' --data-binary "$3" "http://${address_of[$1]}:28711/v1/config"
}
first_config() {
    printf '{"version":"00000001","base_version":"00000000","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[%s],"clusters":[{"name":"one","health_path":"/health","max_conns":240}]}' "$(route r1 /p/)"
}
platform_change() {
    local body
    if [ "$version" = 0 ]; then
        [ "$(send_config "$1" PUT "$(first_config)")" = 200 ]
        return
    fi
    printf -v body '{"version":"%08x","base_version":"%08x","upsert":{"listeners":[%s]}}' $((version + 1)) "$version" "$(route "r-$version" "/new-$version/")"
    [ "$(send_config "$1" PATCH "$body")" = 200 ]
}
platform_first_result() {
    [ "$(send_config "$1" PUT "$(first_config)")" = 200 ] || fail "$1 (${build_of[$1]}) refuses the first configuration when it is sent again"
}
heartbeat_number=0
announce() { # <core daemon>
    local body
    heartbeat_number=$((heartbeat_number + 1))
    body='{"born":5,"address":"127.0.9.21:28715","info":{"service":"one","version":"v1","zone":"dc1","slots":2},"status":{"state":"ready","seq":'$heartbeat_number',"cold_left_s":0}}'
    [ "$(fetch -o /dev/null -w '%{http_code}' -X PUT -H 'Content-Type: application/json' --data-binary "$body" "http://${address_of[$1]}:28711/v1/instances/s1")" = 200 ]
}
serve_request() { # <entry> <path>
    [ "$(fetch -X POST -H 'Host: a.example' -H "X-Request-Id: r$RANDOM$RANDOM" -H 'X-Deadline-Ms: 2000' --data-binary one "http://${address_of[$1]}:$front_port$2")" = done ]
}
# Checks for the entry of the data centre that has the slots. Callers are sent there, so the other entry need not be named.
names_entry() { # <core daemon>
    fetch "http://${address_of[$1]}:28712/v1/resolve?name=a.example" | jq -e ".addresses | index(\"${address_of[e1]}:$front_port\")"
}
platform_requests() {
    local it n answered=0
    for it in "${core[@]}"; do
        wait_for 30 announce "$it" || fail "$it (${build_of[$it]}) took no heartbeat"
        wait_for 30 names_entry "$it" || fail "$it (${build_of[$it]}) does not name the entry to callers"
    done
    for it in e1 e2; do
        wait_for 30 serve_request "$it" /p/order || fail "$it (${build_of[$it]}) answered no request"
        wait_for 30 serve_request "$it" "/new-$((version - 1))/x" || fail "$it (${build_of[$it]}) does not serve the newest route"
        for n in $(seq 1 100); do
            if [ $((n % 20)) = 0 ]; then announce c1 || true; fi
            if serve_request "$it" /p/order; then answered=$((answered + 1)); fi
        done
    done
    echo "$part: $answered of 200 requests answered"
    [ "$answered" = 200 ] || fail "not all requests were answered"
}

# Functions of both parts.

if [ "$part" = examples ]; then prefix=example; else prefix=platform; fi
start() { "start_$prefix" "$@"; }
is_leader() { "${prefix}_is_leader" "$@"; }
is_voter() { "${prefix}_is_voter" "$@"; }
has_version() { "${prefix}_has_version" "$@"; }
change() { "${prefix}_change" "$@"; }

start_all() {
    local it
    for it in "${instances[@]}"; do start "$it"; done
    for it in "${core[@]}"; do wait_for 60 is_voter "$it" || fail "$it (${build_of[$it]}) is not a voter"; done
}

"prepare_$part"
set_builds old old old old old
start_all
wait_for 60 change c1 || fail "the first change was not accepted"
version=1
wait_for 60 change c2 || fail "the second change was not accepted"
version=2
check_in_force
stop_all
echo "$part: data folders written by the old build, version $version"

for builds in "new old new new old" "old new old old new"; do
    # shellcheck disable=SC2086
    set_builds $builds
    start_all
    check_in_force
    echo "$part: $builds started and kept version $version"
    for it in "${core[@]}"; do "${prefix}_first_result" "$it"; done
    change_under_both
    "${prefix}_requests"
    stop_all
done
echo "$part: both builds work together, version $version"
