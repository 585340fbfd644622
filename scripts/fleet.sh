# Starts and stops a local fleet for one example: a store, a list of instances, targets and seven
# instances of sg-entry. Sourced by scripts/demo and scripts/scenario; not executable on its own.

readonly ENTRIES=7
readonly STOP_TIMEOUT_TENTHS=100

declare -A PID=()

# fleet_use USER: sets the addresses and files of an example and stops the fleet on exit.
fleet_use() {
    USER_NAME=$1
    case $USER_NAME in
    ezelthuis) BASE=8 ;;
    batbayar) BASE=9 ;;
    *)
        echo "unknown example '$USER_NAME'; use ezelthuis or batbayar" >&2
        exit 2
        ;;
    esac
    EXAMPLE=$ROOT/examples/$USER_NAME
    STORE=127.0.0.1:${BASE}401
    LIST=127.0.0.1:${BASE}402
    RUN=$(mktemp -d)
    trap fleet_end EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}

fleet_build() {
    (cd "$ROOT" && cargo build --release --quiet -p sg-fake -p sg-load -p sg-entry -p sg) >&2
    BIN=${CARGO_TARGET_DIR:-$ROOT/target}/release
}

# fleet_start NAME COMMAND...: starts a process and records its process id.
fleet_start() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID[$name]=$!
}

fleet_start_entry() {
    fleet_start "$1" "$BIN/sg-entry" --settings "$EXAMPLE/$1.json"
}

# fleet_alive: prints the log and fails if a process has exited, for example because its address is
# in use.
fleet_alive() {
    local name
    for name in "${!PID[@]}"; do
        if ! kill -0 "${PID[$name]}" 2>/dev/null; then
            echo "$name has exited; the end of its log:" >&2
            tail -n 3 "$RUN/$name.log" >&2
            return 1
        fi
    done
}

# fleet_listens ADDRESS: waits until a process listens on ADDRESS; fails after 10 seconds.
fleet_listens() {
    local tenths
    for ((tenths = 0; tenths < 100; tenths++)); do
        if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then
            return 0
        fi
        sleep 0.1
    done
    echo "no process listens on $1; the ends of the logs:" >&2
    tail -n 3 "$RUN"/*.log >&2
    return 1
}

# fleet_up: starts all processes and applies the tree; fails if a process does not start.
fleet_up() {
    local n
    fleet_start store "$BIN/sg-fake" store --listen "$STORE"
    fleet_start list "$BIN/sg-fake" list --listen "$LIST" --file "$EXAMPLE/list.json" --lag 500ms
    fleet_start targets "$BIN/sg-fake" target --tree "$EXAMPLE/tree.json" --lag 500ms
    fleet_listens "$STORE" || return 1
    fleet_listens "$LIST" || return 1
    fleet_listens "127.0.0.1:${BASE}501" || return 1
    fleet_alive || return 1
    if ! "$BIN/sg" tree apply "$EXAMPLE/tree.json" --store "$STORE" --author "$USER_NAME" \
        >"$RUN/sg.log" 2>&1; then
        echo "cannot apply the tree; the end of the log:" >&2
        tail -n 3 "$RUN/sg.log" >&2
        return 1
    fi
    for ((n = 1; n <= ENTRIES; n++)); do
        fleet_start_entry "entry-$n"
    done
    for ((n = 1; n <= ENTRIES; n++)); do
        fleet_listens "127.0.0.1:${BASE}10$n" || return 1
    done
    fleet_alive
}

# fleet_act VERB ARGUMENT...: runs one command of a fault schedule on a process or on the tree.
fleet_act() {
    case $1 in
    kill) kill -KILL "${PID[$2]}" && wait "${PID[$2]}" 2>/dev/null; unset "PID[$2]" ;;
    pause) kill -STOP "${PID[$2]}" ;;
    resume) kill -CONT "${PID[$2]}" ;;
    stop) kill -TERM "${PID[$2]}" && wait "${PID[$2]}" && unset "PID[$2]" ;;
    start) fleet_start_entry "$2" ;;
    tree) "$BIN/sg" tree apply "$2" --store "$STORE" --author "$USER_NAME" >>"$RUN/sg.log" 2>&1 ;;
    *) return 1 ;;
    esac
}

# fleet_load FLAG...: runs sg-load, passes each command that sg-load requests to fleet_act and
# returns the exit code of sg-load.
fleet_load() {
    local requests=$RUN/requests acks=$RUN/acks number verb rest
    mkfifo "$requests"
    : >"$acks"
    exec {FIFO}<>"$requests"
    "$BIN/sg-load" run "$@" --wait 20s --commands "$requests" --acks "$acks" >"$RUN/report" &
    PID[load]=$!
    while kill -0 "${PID[load]}" 2>/dev/null; do
        if read -r -t 0.05 -u "$FIFO" number verb rest; then
            # Word splitting of the arguments is intended.
            # shellcheck disable=SC2086
            if fleet_act "$verb" $rest; then
                echo "$number done" >>"$acks"
            else
                echo "$number failed" >>"$acks"
            fi
        fi
    done
    local code=0
    wait "${PID[load]}" || code=$?
    unset "PID[load]"
    cat "$RUN/report"
    return "$code"
}

# fleet_gone ID...: waits until all processes have exited; fails after STOP_TIMEOUT_TENTHS tenths
# of a second.
fleet_gone() {
    local tenths id remaining
    for ((tenths = 0; tenths < STOP_TIMEOUT_TENTHS; tenths++)); do
        remaining=0
        for id in "$@"; do
            kill -0 "$id" 2>/dev/null && remaining=1
        done
        [[ $remaining == 0 ]] && return 0
        sleep 0.1
    done
    return 1
}

# fleet_end: stops only the processes that this script started, instances of sg-entry first, and
# waits for them.
fleet_end() {
    trap - EXIT INT TERM
    local name entries=() others=()
    for name in "${!PID[@]}"; do
        if [[ $name == entry-* ]]; then
            entries+=("${PID[$name]}")
        else
            others+=("${PID[$name]}")
        fi
    done
    fleet_stop "${entries[@]}"
    fleet_stop "${others[@]}"
    [[ -n ${KEEP_LOGS:-} ]] && echo "logs are in $RUN" >&2 || rm -rf "$RUN"
}

# fleet_stop ID...: sends SIGTERM and, after the stop timeout, SIGKILL.
fleet_stop() {
    [[ $# == 0 ]] && return
    local id
    for id in "$@"; do
        kill -TERM "$id" 2>/dev/null
        kill -CONT "$id" 2>/dev/null
    done
    if ! fleet_gone "$@"; then
        echo "processes did not exit after SIGTERM; sending SIGKILL" >&2
        for id in "$@"; do
            kill -KILL "$id" 2>/dev/null
        done
    fi
    wait "$@" 2>/dev/null
}
