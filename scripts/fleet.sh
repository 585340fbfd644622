# Starts and ends one user's fleet on this machine: a store, a list of instances, targets and seven
# entries. Sourced by scripts/demo and scripts/scenario; not run by itself.

readonly ENTRIES=7
readonly END_PATIENCE_TENTHS=100

declare -A PID=()

fleet_use() {
    USER_NAME=$1
    case $USER_NAME in
    ezelthuis) BASE=8 ;;
    batbayar) BASE=9 ;;
    *)
        echo "no example is called '$USER_NAME'; name ezelthuis or batbayar" >&2
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

# fleet_start NAME COMMAND...: starts a process and notes its id.
fleet_start() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID[$name]=$!
}

fleet_start_entry() {
    fleet_start "$1" "$BIN/sg-entry" --settings "$EXAMPLE/$1.json"
}

# fleet_listens ADDRESS: waits until something listens there.
fleet_listens() {
    local tenths
    for ((tenths = 0; tenths < 100; tenths++)); do
        if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then
            return 0
        fi
        sleep 0.1
    done
    echo "nothing listens on $1; the logs are:" >&2
    tail -n 3 "$RUN"/*.log >&2
    return 1
}

fleet_up() {
    local n
    fleet_start store "$BIN/sg-fake" store --listen "$STORE"
    fleet_start list "$BIN/sg-fake" list --listen "$LIST" --file "$EXAMPLE/list.json" --lag 500ms
    fleet_start targets "$BIN/sg-fake" target --tree "$EXAMPLE/tree.json" --lag 500ms
    fleet_listens "$STORE" || return 1
    fleet_listens "$LIST" || return 1
    fleet_listens "127.0.0.1:${BASE}501" || return 1
    if ! "$BIN/sg" tree apply "$EXAMPLE/tree.json" --store "$STORE" --author "$USER_NAME" \
        >"$RUN/sg.log" 2>&1; then
        echo "the tree was not accepted:" >&2
        tail -n 3 "$RUN/sg.log" >&2
        return 1
    fi
    for ((n = 1; n <= ENTRIES; n++)); do
        fleet_start_entry "entry-$n"
    done
}

# fleet_act VERB ARGUMENT...: does what a schedule of faults asks of processes and of the tree.
fleet_act() {
    case $1 in
    kill) kill -KILL "${PID[$2]}" && wait "${PID[$2]}" 2>/dev/null; unset "PID[$2]" ;;
    pause) kill -STOP "${PID[$2]}" ;;
    resume) kill -CONT "${PID[$2]}" ;;
    stop) kill -TERM "${PID[$2]}" && wait "${PID[$2]}" && unset "PID[$2]" ;;
    start) fleet_start_entry "$2" ;;
    tree) "$BIN/sg" tree set "$2" "$3" --store "$STORE" --author "$USER_NAME" >>"$RUN/sg.log" 2>&1 ;;
    *) return 1 ;;
    esac
}

# fleet_load FLAG...: runs sg-load and carries out what it asks for; returns its exit code.
fleet_load() {
    local requests=$RUN/requests acks=$RUN/acks number verb rest
    mkfifo "$requests"
    : >"$acks"
    exec {FIFO}<>"$requests"
    "$BIN/sg-load" run "$@" --wait 20s --commands "$requests" --acks "$acks" >"$RUN/report" &
    PID[load]=$!
    while kill -0 "${PID[load]}" 2>/dev/null; do
        if read -r -t 0.05 -u "$FIFO" number verb rest; then
            # The word splitting of the arguments is wanted.
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

# fleet_gone ID...: waits until none of the processes is left; fails when patience ends.
fleet_gone() {
    local tenths id left
    for ((tenths = 0; tenths < END_PATIENCE_TENTHS; tenths++)); do
        left=0
        for id in "$@"; do
            kill -0 "$id" 2>/dev/null && left=1
        done
        [[ $left == 0 ]] && return 0
        sleep 0.1
    done
    return 1
}

# Ends exactly the processes that were started, entries first, and waits for them.
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

fleet_stop() {
    [[ $# == 0 ]] && return
    local id
    for id in "$@"; do
        kill -TERM "$id" 2>/dev/null
        kill -CONT "$id" 2>/dev/null
    done
    if ! fleet_gone "$@"; then
        echo "processes did not end when asked; killing them" >&2
        for id in "$@"; do
            kill -KILL "$id" 2>/dev/null
        done
    fi
    wait "$@" 2>/dev/null
}
