# Functions that start a cluster on loopback: 17 instances in 3 data centres, all of them entries and 5 of them control, and
# stand-in servers, by default as in the Abyssinia example. Sourced by other scripts; $bin must be the folder of the programs.

work=$(mktemp -d)
token="demo-token-$$-$RANDOM$RANDOM$RANDOM"
pids=()          # ids of all started processes
declare -A pid_of address_of operators_of counts_of
entries=()       # names of the entries that callers use
servers=()

# Kills the processes that this script has started, by id, and deletes the work folder.
cleanup() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

# Sets found_port to an unused port. The addresses of control instances must be known before any of them starts.
declare -A used_ports
free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 10000))
        if [ -z "${used_ports[$port]:-}" ] && ! (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
            used_ports[$port]=1
            found_port=$port
            return
        fi
    done
}

now_ms() { date +%s%3N; }

# wait_for <seconds> <command...>: repeats the command until it succeeds; fails after the given time.
wait_for() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@" > /dev/null 2>&1; do
        if [ "$(now_ms)" -gt "$end" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

operate() { # <instance> <method> <path> [curl arguments]
    local instance=$1 method=$2 path=$3
    shift 3
    curl -s --max-time 10 -X "$method" -H "Authorization: Bearer $token" "$@" "http://${operators_of[$instance]}$path"
}

write_settings() { # <name> <data centre> <peer address> <control: yes or no>
    {
        echo "[instance]"
        echo "id = \"$1\""
        echo "data_centre = \"$2\""
        if [ "$4" = yes ]; then echo 'roles = ["entry", "control"]'; else echo 'roles = ["entry"]'; fi
        echo "[cluster]"
        echo 'id = "demo"'
        echo 'key_file = "key"'
        echo "[listen]"
        echo 'callers = "127.0.0.1:0"'
        echo 'operators = "127.0.0.1:0"'
        echo "peers = \"$3\""
        echo "[operators]"
        echo 'token_file = "token"'
        echo "[log]"
        echo "threshold = \"${log_threshold:-warn}\""
        echo "[control]"
        if [ "$4" = yes ]; then
            echo "data_folder = \"data-$1\""
            echo "bootstrap = true"
        fi
        cat "$work/replicas"
        printf '%s' "${extra_settings:-}"
    } > "$work/$1.toml"
}

# Writes the settings of an instance: those of an example, with the names and loopback addresses of this run.
write_example_settings() { # <folder below examples> <name> <data centre> <peer address> <control: yes or no>
    local file=entry.toml
    if [ "$5" = yes ]; then file=control.toml; fi
    sed -e '/^\[\[control.replicas\]\]/,$d' \
        -e "s/^id = \"[a-z][0-9]\"/id = \"$2\"/" \
        -e "s/^data_centre = .*/data_centre = \"$3\"/" \
        -e 's/^key_file = .*/key_file = "key"/' \
        -e 's/^token_file = .*/token_file = "token"/' \
        -e '/^seeds = /d' \
        -e 's/^callers = .*/callers = "127.0.0.1:0"/' \
        -e 's/^operators = .*/operators = "127.0.0.1:0"/' \
        -e "s/^peers = .*/peers = \"$4\"/" \
        -e "s/^data_folder = .*/data_folder = \"data-$2\"/" \
        -e 's/^bootstrap = .*/bootstrap = true/' \
        "examples/$1/$file" > "$work/$2.toml"
    cat "$work/replicas" >> "$work/$2.toml"
}

start_instance() { # <name>
    "$bin/galenabarrowd" --settings "$work/$1.toml" > "$work/$1.out" 2> "$work/$1.err" &
    pid_of[$1]=$!
    pids+=("$!")
    wait_for 20 grep -q peers= "$work/$1.out"
    operators_of[$1]=$(sed -n 's/.*operators=\([0-9.:]*\).*/\1/p' "$work/$1.out")
    address_of[$1]=$(sed -n 's/.*callers=\([0-9.:]*\).*/\1/p' "$work/$1.out")
}

# Instances 1 to 17 in data centres dc1 to dc3 (6, 6 and 5). Control replicas: 2 in dc1, 2 in dc2, 1 in dc3.
start_instances() {
    local n name dc
    printf 'key-of-the-demo-%s' "$RANDOM$RANDOM$RANDOM" > "$work/key"
    printf '%s' "$token" > "$work/token"
    : > "$work/replicas"
    declare -A control_address
    for n in 1 2 3 4 5; do
        free_port
        control_address[$n]="127.0.0.1:$found_port"
        dc="dc$(((n - 1) % 3 + 1))"
        printf '[[control.replicas]]\ninstance = "i%02d"\ndata_centre = "%s"\npeer_address = "%s"\n' "$n" "$dc" "${control_address[$n]}" >> "$work/replicas"
    done
    for n in $(seq 1 17); do
        name=$(printf 'i%02d' "$n")
        dc="dc$(((n - 1) % 3 + 1))"
        if [ "$n" -le 5 ]; then
            write_settings "$name" "$dc" "${control_address[$n]}" yes
        else
            write_settings "$name" "$dc" "127.0.0.1:0" no
        fi
        start_instance "$name"
        entries+=("$name")
    done
}

serving_count() { operate "$1" GET /v1/status | jq '[.instances[] | select(.serving and (.leaving | not))] | length'; }
has_serving() { [ "$(serving_count "$1")" = "$2" ]; }
entry_addresses() {
    local list="" it
    for it in "${entries[@]}"; do list+="${list:+,}${address_of[$it]}"; done
    echo "$list"
}

start_server() { # <name> <service> <data centre> [arguments]
    local name=$1 service=$2 dc=$3
    shift 3
    "$bin/galenabarrow-standin" --server="$name" --service="$service" --dc="$dc" --entries="$(entry_addresses)" \
        --counts_file="$work/$name.counts" "$@" > "$work/$name.out" 2> "$work/$name.err" &
    pid_of[$name]=$!
    pids+=("$!")
    servers+=("$name")
    wait_for 10 grep -q address= "$work/$name.out"
    address_of[$name]=$(sed -n 's/^address=//p' "$work/$name.out")
}

knows_servers() { [ "$(operate "$1" GET /v1/status | jq '.servers | length')" = "$2" ]; }

contract_json() { # <calls per second>
    local terms='"idempotentPaths":["/stock"],"maxDeadlineMs":2000,"hedgePermille":50,"retryPermille":100'
    echo "{\"customer\":\"abyssinia\",\"services\":[{\"service\":\"order-desk\",$terms},{\"service\":\"dispatch\",$terms}],\
\"ratePerSecond\":$1,\"burst\":20000,\"concurrency\":20000,\"objectivePermille\":990,\"objectiveLatencyMs\":50}"
}

# Prints the answer; succeeds if the change was accepted.
put_contract() { # <instance> <version seen> <change id> <calls per second>
    contract_json "$4" > "$work/contract.json"
    if [ -x "$bin/galenabarrowctl" ]; then
        "$bin/galenabarrowctl" --addresses="${operators_of[$1]}" --token_file="$work/token" --expect="$2" --change_id="$3" --rounds=1 \
            contract put "$work/contract.json"
        return
    fi
    local answer
    answer=$(operate "$1" PUT /v1/contracts/abyssinia -H "If-Match: $2" -H "Galenabarrow-Change-Id: $3" --data-binary "@$work/contract.json")
    echo "$answer"
    [ "$(jq .code <<< "$answer")" = 0 ]
}

# As put_contract, always over HTTP; prints the result as JSON. Each change has a file of its own, so that two can run concurrently.
put_contract_json() { # <instance> <version seen> <change id> <calls per second>
    contract_json "$4" > "$work/contract-$3.json"
    operate "$1" PUT /v1/contracts/abyssinia -H "If-Match: $2" -H "Galenabarrow-Change-Id: $3" --data-binary "@$work/contract-$3.json"
}

# CPU time (user and kernel) that a process has used since its start, in clock ticks.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${pid_of[$1]}/stat"; }

# Runs the same light load through entries and directly to servers, concurrently. Writes the reports to $work/light.json and
# $work/direct.json, and the outcomes of actions to $work/light.actions.
run_light_load() { # <seed>
    local direct="" it direct_pid
    for it in desk-1 desk-2 desk-3; do direct+="${direct:+,}${address_of[$it]}"; done
    local shape=(--threads=4 --rate=200 --calls=2000 --seconds=30)
    "$bin/galenabarrow-load" --direct="$direct" --services=order-desk "${shape[@]}" --seed="$1" > "$work/direct.json" &
    direct_pid=$!
    "$bin/galenabarrow-load" --entries="$(entry_addresses)" --dc=dc1 --customer=abyssinia --services=order-desk,dispatch \
        --actions_file="$work/light.actions" "${shape[@]}" --seed="$(($1 + 1))" > "$work/light.json"
    wait "$direct_pid"
}

# Latency through entries minus latency of direct calls, in microseconds.
added_latency() { # <p50 or p99>
    echo $(($(jq ".latencyUs.$1" "$work/light.json") - $(jq ".latencyUs.$1" "$work/direct.json")))
}
