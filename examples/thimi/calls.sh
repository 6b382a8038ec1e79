#!/usr/bin/env bash
# Example calls of the running federation. Start it with examples/run thimi, which prints the value for KEYS.
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

# The models that a shop may use.
call patan-shops "http://${CALLERS[0]}/v1/models"

# A streamed chat completion through a node in another availability zone.
call shop-counter-tablets -N "http://${CALLERS[3]}/v1/chat/completions" -d '{
  "model": "block-writer", "stream": true, "max_tokens": 24,
  "messages": [{"role": "user", "content": "Which two block prints have the same value as indigo, and why?"}]}'

# A completion without streaming.
call bhaktapur-guild "http://${CALLERS[6]}/v1/completions" -d '{
  "model": "block-writer", "max_tokens": 16, "prompt": "Cutting list for one 30 cm Churn Dash block:"}'

# Catalogue pages are open to all callers. The key is not forwarded to the upstream.
call head-office "http://${CALLERS[1]}/catalogue/blocks/ohio-star"

# A fabric order is not idempotent: the second call with the same Idempotency-Key gets the response of the first.
for node in "${CALLERS[2]}" "${CALLERS[5]}"; do
  call patan-shops -H 'Idempotency-Key: order-1081' -d '{"fabric": "indigo-04", "metres": 6}' "http://$node/fabric-orders"
done

# Refused requests: an order from an organisation that may not use the route, and an unknown model.
call dhulikhel-collective -d '{"fabric": "indigo-04"}' "http://${CALLERS[0]}/fabric-orders"
call kirtipur-shops -d '{"model": "none", "prompt": "x"}' "http://${CALLERS[0]}/v1/completions"

# A batch job of 500 sewing instructions. Any node returns its state and results.
call pattern-archive --data-binary "@$here/batch.jsonl" "http://${CALLERS[7]}/v1/batches/archive-week-49"
call pattern-archive "http://${CALLERS[1]}/v1/batches/archive-week-49"
call pattern-archive "http://${CALLERS[4]}/v1/batches/archive-week-49/results?from=0&limit=3"
