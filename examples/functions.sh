# Functions of examples/run. They use the variables root, name, example, directory and pids of the calling script and
# the variables of the example's federation.sh.

jars=(target/poplarshift-stand-ins/poplarshift-stand-ins.jar target/poplarshift-node/poplarshift-node.jar target/poplarshift-operator/poplarshift.jar)

# Builds the programs unless their jars are newer than all sources. MAVEN_FLAGS, such as -o, is passed to Maven.
build_if_needed() {
  local jar
  for jar in "${jars[@]}"; do
    if [ ! -e "$root/$jar" ] || [ -n "$(newer_sources "$root/$jar")" ]; then
      echo "Building the programs"
      (cd "$root" && mvn ${MAVEN_FLAGS:-} -q -B -ntp package -DskipTests -pl stand-ins,node,operator -am)
      # Maven does not rewrite the jar of an unchanged module. With its old modification time, every run would build
      # again.
      (cd "$root" && touch "${jars[@]}")
      return
    fi
  done
}

newer_sources() {
  find "$root"/{core,wire,platform,node,operator,stand-ins}/src/main "$root/docs" -type f -newer "$1" -print -quit
}

# Starts a program in the background: start LOG-NAME COMMAND...
start() {
  local log="$directory/logs/$1.log"
  shift
  # Ctrl-C reaches every program in the process group of this script. The programs ignore it because they must end in
  # order.
  (trap '' INT; exec "$@") >"$log" 2>&1 &
  pids+=($!)
}

# Waits until COMMAND succeeds: wait_until SECONDS WHAT COMMAND...
wait_until() {
  local deadline=$((SECONDS + $1)) what="$2"
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "timed out waiting for $what; see $directory/logs" >&2
      tail -n 5 "$directory"/logs/*.log >&2
      exit 1
    fi
    sleep 0.2
  done
}

start_stand_ins() {
  start stand-ins java -Xmx512m -jar "$root/target/poplarshift-stand-ins/poplarshift-stand-ins.jar" federation "$example/federation.json"
  wait_until 30 "the start of the platform" curl -sf "http://$PLATFORM/vms"
}

start_nodes() {
  local settings
  for settings in "$example"/nodes/*.json; do
    start "$(basename "$settings" .json)" "$root/bin/poplarshift-node" --settings "$settings"
  done
}

create_keys() {
  local organisation
  umask 077
  for organisation in "${ORGANISATIONS[@]}"; do
    "$root/bin/poplarshift" key give "$organisation" >"$directory/keys/$organisation.key" 2>>"$directory/logs/keys.log"
  done
}

wait_for_nodes() {
  local address
  for address in "${PEERS[@]}"; do
    wait_until 60 "readiness of the node at $address" curl -sf "http://$address/health/ready"
  done
  # A node accepts a key once it has read the log record of the key. A request with the last key verifies this.
  for address in "${CALLERS[@]}"; do
    wait_until 30 "the last key at $address" call "${ORGANISATIONS[-1]}" -f "http://$address/v1/models"
  done
}

# Runs curl with the key of an organisation: call ORGANISATION CURL-ARGUMENT...
# The key is passed in a configuration file so that it does not appear in the process list.
call() {
  local organisation="$1"
  shift
  curl -sS --max-time 60 --config <(
    printf 'header = "Authorization: Bearer %s"\n' "$(cat "$directory/keys/$organisation.key")"
  ) "$@"
}

check() {
  check_stream
  check_plain_call
  check_batch
}

check_stream() {
  local body response
  body="$(printf '{"model":"%s","stream":true,"messages":[{"role":"user","content":"%s"}]}' \
    "$MODEL" "$(head -n 1 "$example/prompts.txt")")"
  response="$(call "$ONLINE_ORGANISATION" -f "http://${CALLERS[0]}/v1/chat/completions" -d "$body")"
  if [[ "$response" != *"data: [DONE]"* ]]; then
    echo "the stream is not complete: $response" >&2
    exit 1
  fi
  echo "check: received a stream of $(grep -c '^data: {' <<<"$response") chunks through ${CALLERS[0]}"
}

check_plain_call() {
  local response
  response="$(call "$ONLINE_ORGANISATION" -f -X "$PLAIN_METHOD" "http://${CALLERS[4]}$PLAIN_PATH" -H 'Idempotency-Key: check-1')"
  echo "check: a plain call through ${CALLERS[4]}: $response"
}

check_batch() {
  local key="$directory/keys/$BATCH_ORGANISATION.key" results="$directory/results.jsonl" expected unique refused failed
  "$root/bin/poplarshift" batch submit --node "${CALLERS[7]}" --key-file "$key" check-job "$example/batch.jsonl"
  timeout 180 "$root/bin/poplarshift" batch results --follow --node "${CALLERS[2]}" --key-file "$key" check-job >"$results"
  expected="$(wc -l <"$example/batch.jsonl")"
  unique="$(grep -o '^{"id":"[^"]*"' "$results" | sort -u | wc -l)"
  if [ "$(wc -l <"$results")" != "$expected" ] || [ "$unique" != "$expected" ]; then
    echo "the batch has $(wc -l <"$results") results for $unique of $expected items" >&2
    exit 1
  fi
  refused="$(grep -cF '[[refuse]]' "$example/batch.jsonl")"
  failed="$(grep -c '"outcome":"failed"' "$results" || true)"
  if [ "$failed" != "$refused" ]; then
    echo "the batch has $failed failed items, expected $refused, which the engines refuse" >&2
    exit 1
  fi
  echo "check: a batch of $expected items, $failed of them refused, through ${CALLERS[7]}, its results through ${CALLERS[2]}"
}

# Stops the nodes in the order of their start and then the stand-ins, by process id.
stop() {
  local status=$? pid
  trap - EXIT
  for pid in "${pids[@]:1}" "${pids[@]:0:1}"; do
    kill "$pid" 2>/dev/null || true
    if [ "$pid" = "${pids[-1]}" ]; then wait_for_exit "${pids[@]:1}"; fi
  done
  wait_for_exit "${pids[@]}"
  rm -rf "$directory/keys"
  case "$status" in
    0 | 130 | 143) rm -rf "$directory" ;;
    *) echo "failed with exit code $status; logs are in $directory/logs" >&2 ;;
  esac
  exit "$status"
}

# Waits up to 30 s for the processes to exit and kills those that remain.
wait_for_exit() {
  local deadline=$((SECONDS + 30)) pid
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.1; done
    kill -9 "$pid" 2>/dev/null && echo "process $pid did not exit within 30 s and was killed" >&2
  done
  return 0
}
