#!/usr/bin/env bash
# Builds comfreyslip and demonstrates it on one host: stand-ins for the platform, two daemons, a configuration proposed
# with the operators' command, a chat request, a streamed one, and a stamp that is sent twice and recorded once.
# Arguments are passed to Maven. Exits with 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")"

key=demo-account-key
operator_key=demo-operator-key
work=$(mktemp -d)
pids=()

stop_all() {
	local status=$?
	trap - EXIT INT TERM
	if ((status != 0)); then
		echo "demo failed with status $status; last lines of the logs:" >&2
		tail -n 5 "$work"/*.log >&2 || true
	fi
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
	exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

step() {
	printf '\n== %s\n' "$*"
}

fail() {
	echo "$*" >&2
	exit 1
}

declare -A taken=()
# Sets the variable "port" to a port on which no process listens and that was not picked before.
pick_port() {
	port=$((20000 + RANDOM % 12000))
	while [[ -n ${taken[$port]:-} ]] || (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do
		port=$((20000 + RANDOM % 12000))
	done
	taken[$port]=1
}

operator() {
	bin/comfreyslip "$@"
}

call() {
	curl -sS --fail-with-body --max-time 60 -H "Authorization: Bearer $key" -H "Content-Type: application/json" "$@"
}

step "Build"
mvn -B -ntp -q package -DskipTests "$@"

step "Start the stand-ins: log, host list, weight store, two archive endpoints, six engines in three stages"
{
	echo "log"
	echo "hosts"
	echo "weights"
	echo "service --service-millis 5"
	echo "service --service-millis 5"
	for layers in 0-4 4-8 8-12; do
		for micros in 100 300; do
			echo "engine --model mill-qa --model-version 1 --model-layers 12 --layers $layers --layer-micros $micros"
		done
	done
} >"$work/standins.txt"
bin/comfreyslip-standins all "$work/standins.txt" >"$work/standins.out" 2>"$work/standins.log" &
standins=$!
pids+=("$standins")
expected=$(wc -l <"$work/standins.txt")
for ((i = 0; i < 300; i++)); do
	(($(wc -l <"$work/standins.out") < expected)) || break
	kill -0 "$standins" 2>/dev/null || fail "the stand-ins ended early"
	sleep 0.1
done
mapfile -t addresses < <(awk '{print $2}' "$work/standins.out")
((${#addresses[@]} == expected)) || fail "the stand-ins did not start within 30 s"
log=${addresses[0]}
cat "$work/standins.out"

step "Start two daemons"
callers=()
admins=()
grpcs=()
for i in 0 1; do
	pick_port
	callers[i]=127.0.0.1:$port
	pick_port
	admins[i]=127.0.0.1:$port
	pick_port
	grpcs[i]=127.0.0.1:$port
done
daemons=()
for i in 0 1; do
	cat >"$work/daemon-$i.ini" <<INI
[daemon]
name = entry-$((i + 1))
data-centre = dc-1
region = region-1
http-listen = ${callers[i]}
grpc-listen = ${grpcs[i]}
admin-listen = ${admins[i]}
peers = ${grpcs[1 - i]}
balancer-lag-ms = 500
drain-deadline-ms = 30000

[platform]
log = $log
host-list = ${addresses[1]}
weight-store = ${addresses[2]}
INI
	bin/comfreyslip-daemon --settings "$work/daemon-$i.ini" >"$work/daemon-$i.log" 2>&1 &
	daemons[i]=$!
	pids+=("$!")
	echo "entry-$((i + 1)): callers ${callers[i]}, operators ${admins[i]}"
done

step "Check and propose a configuration"
hash_of() {
	printf '%s' "$1" | operator hash-credential
}
{
	printf '[comfreyslip]\nformat = 1\n\n[model mill-qa]\nlayers = 12\nversion = 1\n\n'
	printf '[kind fast]\nlayer-micros = 100\n\n[kind slow]\nlayer-micros = 300\n\n'
	n=5
	for layers in 0-4 4-8 8-12; do
		for kind in fast slow; do
			printf '[engine engine-%s-%s]\naddress = %s\ndata-centre = dc-1\nkind = %s\nmodel = mill-qa\n' \
				"$layers" "$kind" "${addresses[n]}" "$kind"
			printf 'layers = %s\nfencing = checked\n\n' "$layers"
			n=$((n + 1))
		done
	done
	printf '[service archive]\nprotected = POST /stamps\nlookup = /stamps/by-key/{key}\ntimeout-ms = 5000\n\n'
	for i in 1 2; do
		printf '[endpoint archive-%s]\nservice = archive\naddress = %s\ndata-centre = dc-1\n\n' "$i" "${addresses[i + 2]}"
	done
	printf '[account demo]\ncredential-sha256 = %s\nmax-concurrent = 100\n\n' "$(hash_of "$key")"
	printf '[operator demo]\ncredential-sha256 = %s\n' "$(hash_of "$operator_key")"
} >"$work/ops.ini"
operator check "$work/ops.ini"
operator --log "$log" propose "$work/ops.ini" --base 0 --author demo
operator wait 1 --daemon "${admins[0]}" --daemon "${admins[1]}"

step "Chat request at entry-1"
call -D "$work/headers" "http://${callers[0]}/v1/chat/completions" -d '{"model":"mill-qa","max_tokens":24,
	"messages":[{"role":"user","content":"What is the carbon content of heat 4711?"}]}'
echo
request=$(tr -d '\r' <"$work/headers" | awk 'tolower($1) == "x-request-id:" {print $2}')

step "Streamed chat request at entry-2"
call -N "http://${callers[1]}/v1/chat/completions" -d '{"model":"mill-qa","max_tokens":8,"stream":true,
	"messages":[{"role":"user","content":"Summarise the tensile results."}]}' | tee "$work/stream"
grep -q '^data: \[DONE\]' "$work/stream" || fail "the streamed response is not complete"

step "One stamp, sent to both daemons with the same idempotency key"
stamp_key=$(call -X POST "http://${callers[0]}/v1/idempotency-keys" | grep -oE '[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')
for i in 0 1; do
	# A daemon that has not read the claims or the outcome yet responds with 503 or 502. Retrying with the same key is
	# safe, and is what callers do.
	call --retry 10 -o "$work/stamp-$i" "http://${callers[i]}/services/archive/stamps" \
		-H "Idempotency-Key: $stamp_key" -d '{"certificate":"C-4711","inspector":"demo"}'
	cat "$work/stamp-$i"
	echo
done
cmp "$work/stamp-0" "$work/stamp-1" || fail "the two responses differ"
records=$({ curl -sS "http://${addresses[3]}/records"; curl -sS "http://${addresses[4]}/records"; } |
	grep -o "$stamp_key" | wc -l)
echo "records of key $stamp_key at the endpoints: $records"
((records == 1)) || fail "the stamp was recorded $records times"

step "Status"
operator status --daemon "${admins[0]}" --daemon "${admins[1]}"

step "Explain request $request"
operator explain "$request" --daemon "${admins[0]}" --daemon "${admins[1]}"

step "Stop everything"
kill -TERM "${daemons[@]}"
for i in 0 1; do
	wait "${daemons[i]}" || fail "entry-$((i + 1)) ended with status $?"
done
kill -TERM "$standins"
# A JVM that is ended by SIGTERM exits with 143.
wait "$standins" || (($? == 143)) || fail "the stand-ins did not end cleanly"
pids=()
echo "done"
