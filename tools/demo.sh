#!/usr/bin/env bash
# Shows the whole path in separate processes on their own loopback addresses: a platform stand-in, two data centres with
# two nodes and two targets each. Exits 0 when every step was seen, 1 at the first that was not.
set -u
build=${1:-build}
program=$build/fescuenotch
work=$(mktemp -d "${TMPDIR:-/tmp}/fescuenotch-demo.XXXXXX")
pids=()
platform=127.0.10.1:7000
operator=127.0.10.1:7001
hosts=(127.0.11.11 127.0.11.12 127.0.12.11 127.0.12.12)
centres=(lk-south-1 lk-south-1 lk-south-2 lk-south-2)

cleanup() {
    [ ${#pids[@]} -gt 0 ] && kill "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT

broken() {
    echo "demo: BROKEN: $1"
    for log in "$work"/node-*.log; do
        echo "--- $(basename "$log")"
        tail -5 "$log"
    done
    exit 1
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
    local limit=$1 what=$2
    shift 2
    local start
    start=$(date +%s%N)
    until "$@" > "$work/last" 2>&1; do
        [ $((($(date +%s%N) - start) / 1000000)) -gt $((limit * 1000)) ] && broken "$what (waited ${limit}s)"
        sleep 0.05
    done
    echo "demo: $what after $((($(date +%s%N) - start) / 1000000)) ms"
}

start() {
    local log=$1
    shift
    "$@" > "$work/$log" 2>&1 &
    pids+=($!)
}

get() {
    curl -sS --max-time 5 --noproxy '*' "$@"
}

publish() {
    get -X POST --data "$1" "http://$operator/publish" > /dev/null || broken "publishing at the platform"
}

profile() {
    cat <<JSON
{"key":"profile/desk","value":{"spread":"time",
 "routes":[{"path_prefix":"/","methods":["GET","HEAD"],"service":"bookdesk","rule":"read"},
           {"path_prefix":"/run","methods":["POST"],"service":"bookdesk","rule":"confirm"}],
 "rules":{"read":{"idempotent":true,"timeout_ms":$1,"max_attempts":3,"class":"lookup"},
          "confirm":{"idempotent":false,"timeout_ms":3000,"max_attempts":2,"class":"write"}}}}
JSON
}

# documents FILE: the service, its targets and the host list at start.
write_documents() {
    local targets="" list="" n
    for n in 0 1 2 3; do
        targets+="{\"host\":\"${hosts[$n]}\",\"data_centre\":\"${centres[$n]}\",\"address\":\"${hosts[$n]}:9000\",\"slots\":20,\"connections\":130},"
        list+="{\"host\":\"${hosts[$n]}\",\"data_centre\":\"${centres[$n]}\",\"service\":\"bookdesk\",\"peer\":\"${hosts[$n]}:7400\",\"state\":\"live\"},"
    done
    echo "{\"service/bookdesk\":{\"profile\":\"desk\",\"targets\":[${targets%,}]}}" > "$work/documents.json"
    echo "[${list%,}]" > "$work/hosts.json"
}

# all_in_force REVISION: every node has profile desk in force at this revision or a later one.
all_in_force() {
    local host revision
    for host in "${hosts[@]}"; do
        revision=$(get "http://$host:8081/status" | grep -oE '"profile_revision":[0-9]+' | grep -oE '[0-9]+')
        [ -n "$revision" ] && [ "$revision" -ge "$1" ] || return 1
    done
}

none_in_force() {
    local host
    for host in "${hosts[@]}"; do
        get "http://$host:8081/status" | grep -q '"in_force":\[\]' || return 1
    done
}

status_shows_all() {
    "$program" status --node "${hosts[0]}:8081" > "$work/status"
    [ "$(awk '$1 == "desk" && $4 == 2 && $5 == 0 && $6 == 0' "$work/status" | wc -l)" -eq 2 ]
}

all_ready() {
    local host
    for host in "${hosts[@]}"; do
        get -f "http://$host:8081/readyz" > /dev/null || return 1
    done
}

write_documents
start platform.log "$build/fescuenotch-platform" --listen $platform --operator $operator --documents "$work/documents.json" --hosts "$work/hosts.json"
for n in 0 1 2 3; do
    start "target-$n.log" "$build/fescuenotch-target" --listen "${hosts[$n]}:9000" --operator "${hosts[$n]}:9001" --journal "$work/journal-$n"
    start "node-$n.log" "$program" node --host "${hosts[$n]}" --data-centre "${centres[$n]}" --service bookdesk --platform "http://$platform" \
        --caller-listen "${hosts[$n]}:8080" --peer-listen "${hosts[$n]}:7400" --operator-listen "${hosts[$n]}:8081"
done

wait_for 10 "platform answers" get -f "http://$operator/stats"
publish "$(profile 800)"
wait_for 15 "profile desk in force on all four nodes" all_in_force 2
wait_for 10 "all four nodes ready" all_ready

answer=$(get -D "$work/head" "http://${hosts[0]}:8080/echo/slot-17") || broken "a GET through entry node, peer link and exit node"
grep -qi '^Fescuenotch-Outcome: ran' "$work/head" || broken "a GET answered without outcome ran"
grep -q 'slot-17' <<< "$answer" || broken "a GET answered with something else: $answer"
echo "demo: GET /echo/slot-17 came back whole"

get -X POST --data 'place=1' -D "$work/head" "http://${hosts[2]}:8080/run/booking-1" > /dev/null || broken "a POST"
grep -qi '^Fescuenotch-Outcome: ran' "$work/head" || broken "a POST answered without outcome ran"
runs=$(cat "$work"/journal-* | grep 'booking-1' | grep -c '"event":"started"')
[ "$runs" -eq 1 ] || broken "the POST ran $runs times"
echo "demo: POST /run/booking-1 ran once"

publish "$(profile 900)"
wait_for 6 "revised profile in force on all four nodes" all_in_force 3
wait_for 10 "fescuenotch status shows it" status_shows_all
cat "$work/status"

publish '{"key":"profile/desk","value":null}'
wait_for 6 "withdrawn profile gone from all four nodes" none_in_force
get -D "$work/head" "http://${hosts[0]}:8080/echo/slot-18" > /dev/null
grep -qi '^Fescuenotch-Outcome: not-run' "$work/head" || broken "a request without a profile was not refused as not run"
echo "demo: a request without a profile is refused as not run"
echo "demo: every step was seen"
