# Sourced by the scripts: starts a deployment of real processes on loopback and ends them again.
# Each host gets a loopback address of its own; only processes started here are ever ended.

FLEET_PIDS=()
FLEET_DIR=$(mktemp -d)
FLEET_NET="127.$((20 + $$ % 200)).$((RANDOM % 250 + 1))"
PLATFORM="$FLEET_NET.250:7000"
NODE_COUNT=0
NODE_FLAGS=()
CALLERS=""
TARGETS=""
CONTROLS=""
OPERATORS=""
declare -A NODE_PID TARGET_PID NODE_DC

binary() {
    BIN=target/bilberrylane
    if [ ! -x "$BIN" ] || [ -n "$(find src pom.xml bin/launcher.sh -newer "$BIN" -print -quit)" ]; then
        bin/build >&2
    fi
}

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$BIN" "$@" >>"$FLEET_DIR/$name.out" 2>>"$FLEET_DIR/$name.log" &
    LAST_PID=$!
    FLEET_PIDS+=("$LAST_PID")
}

stop_fleet() {
    trap - EXIT INT TERM
    [ ${#FLEET_PIDS[@]} -gt 0 ] && kill -KILL "${FLEET_PIDS[@]}" 2>/dev/null
    wait 2>/dev/null
    if [ -n "${FLEET_KEEP_LOGS:-}" ]; then
        echo "logs kept in $FLEET_DIR" >&2
    else
        rm -rf "$FLEET_DIR"
    fi
}

start_platform() {
    start_process platform platform-standin --address "$PLATFORM" "$@"
}

# Where a node finds the platform; a script may put something between them.
platform_of() { # NUMBER
    echo "$PLATFORM"
}

post() { # URL BODY
    curl -s -m 2 -o /dev/null -X POST -d "$2" "http://$1" || echo "not told: $1" >&2
}

platform_faults() { # JSON
    post "$PLATFORM/standin/faults" "$1"
}

target_faults() { # NUMBER JSON
    post "$FLEET_NET.$1:8001/standin/faults" "$2"
}

calls_at() { # NUMBER: requests seen by a target
    curl -s -m 2 "http://$FLEET_NET.$1:8001/standin/record" | grep -o '"nonce"' | wc -l
}

start_node() { # NUMBER DATA_CENTRE
    local ip="$FLEET_NET.$1"
    start_process "node-$1" node --host "host-$1" --data-centre "$2" \
        --caller-address "$ip:7001" --peer-address "$ip:7002" --target-address "$ip:7003" \
        --operator-address "$ip:7004" --platform "http://$(platform_of "$1")" \
        "${NODE_FLAGS[@]}"
    NODE_PID[$1]=$LAST_PID
    NODE_DC[$1]=$2
}

start_target() { # NUMBER SERVICE FLAGS...
    local ip="$FLEET_NET.$1" number=$1 service=$2
    shift 2
    start_process "target-$number" target-standin --service "$service" --address "$ip:8000" \
        --control-address "$ip:8001" --node-address "$ip:7003" "$@"
    TARGET_PID[$number]=$LAST_PID
}

add_host() { # DATA_CENTRE SERVICE FLAGS...
    NODE_COUNT=$((NODE_COUNT + 1))
    local data_centre=$1 service=$2 ip="$FLEET_NET.$NODE_COUNT"
    shift 2
    start_node "$NODE_COUNT" "$data_centre"
    start_target "$NODE_COUNT" "$service" "$@"
    CALLERS="$CALLERS${CALLERS:+,}$ip:7001"
    TARGETS="$TARGETS${TARGETS:+,}$ip:8000"
    CONTROLS="$CONTROLS${CONTROLS:+,}$ip:8001"
    OPERATORS="$OPERATORS${OPERATORS:+,}$ip:7004"
}

add_service() { # SERVICE COUNT "DATA_CENTRES" FLAGS...
    local service=$1 count=$2 data_centres=($3) i
    shift 3
    for ((i = 0; i < count; i++)); do
        add_host "${data_centres[$((i % ${#data_centres[@]}))]}" "$service" "$@"
    done
}

start_deployment() { # castor|padana
    start_platform
    case $1 in
        castor)
            local dcs="tbilisi-1 tbilisi-2 tbilisi-3"
            add_service specification-registry 6 "$dcs" --connections 250
            add_service certification-desk 4 "$dcs" --connections 250
            add_service test-archive 3 "$dcs" --connections 250
            ;;
        padana)
            local dcs="milan-1 milan-2 bologna turin"
            add_service calendar 4 "$dcs" --connections 220
            add_service booking-ledger 4 "$dcs" --connections 220
            add_service case-files 4 "$dcs" --connections 220
            ;;
        *)
            echo "unknown deployment '$1': castor or padana" >&2
            exit 2
            ;;
    esac
    "$BIN" ctl apply "deploy/$1.yaml" --platform "http://$PLATFORM" --timeout-millis 10000 >/dev/null
}

await_in_force() { # SECONDS
    local end=$((SECONDS + $1))
    until "$BIN" ctl status --nodes "$OPERATORS" >"$FLEET_DIR/status" 2>&1 &&
        [ "$(awk -v n="$NODE_COUNT" '$4 == n' "$FLEET_DIR/status" | wc -l)" = "$NODE_COUNT" ] &&
        [ "$(awk '$5 ~ /\/[1-9]/' "$FLEET_DIR/status" | wc -l)" = "$NODE_COUNT" ]; do
        if [ $SECONDS -ge $end ]; then
            cat "$FLEET_DIR/status" >&2
            echo "the fleet was not ready in $1 s" >&2
            return 1
        fi
        sleep 0.2
    done
}

trap stop_fleet EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
