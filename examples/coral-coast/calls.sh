#!/usr/bin/env bash
# Example calls of the running federation. Start it with examples/run coral-coast, which prints the value for KEYS.
set -euo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
source "$here/federation.sh"
: "${KEYS:?set KEYS to the directory with the keys that examples/run prints}"

# Runs curl with the key of an organisation. The key is passed in a configuration file so that it does not appear in the
# process list.
call() {
  local organisation="$1"
  shift
  echo "-- $organisation: ${*: -1}"
  curl -sS -i --config <(printf 'header = "Authorization: Bearer %s"\n' "$(cat "$KEYS/$organisation.key")") "$@"
  echo
}

# The models that a depot may use.
call brisbane-river-depots "http://${CALLERS[0]}/v1/models"

# A streamed chat completion through a node in another availability zone.
call depot-handhelds -N "http://${CALLERS[3]}/v1/chat/completions" -d '{
  "model": "manifest-draft", "stream": true, "max_tokens": 24,
  "messages": [{"role": "user", "content": "Draft the manifest for 16 crates of ginger, Maleny ridge to Bulimba wharf."}]}'

# A completion without streaming.
call noosa-florists "http://${CALLERS[6]}/v1/completions" -d '{
  "model": "route-brief", "max_tokens": 16, "prompt": "Alternative landing sites near Noosa Heads landing:"}'

# Printing a label is not idempotent: the second call with the same Idempotency-Key gets the response of the first.
for node in "${CALLERS[2]}" "${CALLERS[5]}"; do
  call flight-dispatch -H 'Idempotency-Key: label-8814' -d '{"crate": 16}' "http://$node/labels/8814"
done

# Reading a label is idempotent. Service notices are open to all callers.
call goldcoast-resorts "http://${CALLERS[1]}/labels/8814"
call goldcoast-resorts "http://${CALLERS[1]}/notices/today"

# Refused requests: printing a label for an organisation that may not use the route, and an unknown model.
call moreton-island-supply -d '{"crate": 1}' "http://${CALLERS[0]}/labels/1"
call sunshine-growers -d '{"model": "none", "prompt": "x"}' "http://${CALLERS[0]}/v1/completions"

# A batch job of 500 route briefings. Any node returns its state and results.
call route-planning-night --data-binary "@$here/batch.jsonl" "http://${CALLERS[7]}/v1/batches/plan-49"
call route-planning-night "http://${CALLERS[1]}/v1/batches/plan-49"
call route-planning-night "http://${CALLERS[4]}/v1/batches/plan-49/results?from=0&limit=3"
