# Addresses and names of this federation, sourced by examples/run and calls.sh.
PLATFORM=127.0.0.1:19000
CALLERS=(
  127.0.1.11:19301 127.0.1.12:19302 127.0.1.13:19303
  127.0.2.11:19304 127.0.2.12:19305 127.0.2.13:19306
  127.0.3.11:19307 127.0.3.12:19308 127.0.3.13:19309
)
PEERS=(
  127.0.1.11:19401 127.0.1.12:19402 127.0.1.13:19403
  127.0.2.11:19404 127.0.2.12:19405 127.0.2.13:19406
  127.0.3.11:19407 127.0.3.12:19408 127.0.3.13:19409
)
ORGANISATIONS=(
  flight-dispatch
  brisbane-river-depots
  goldcoast-resorts
  route-planning-night
  sunshine-growers
  noosa-florists
  moreton-island-supply
  depot-handhelds
)
MODEL=manifest-draft
ONLINE_ORGANISATION=brisbane-river-depots
BATCH_ORGANISATION=route-planning-night
PLAIN_METHOD=POST
PLAIN_PATH=/labels/8814
