# Addresses and names of this federation, sourced by examples/run and calls.sh.
PLATFORM=127.0.0.1:18000
CALLERS=(
  127.0.1.11:18301 127.0.1.12:18302 127.0.1.13:18303
  127.0.2.11:18304 127.0.2.12:18305 127.0.2.13:18306
  127.0.3.11:18307 127.0.3.12:18308 127.0.3.13:18309
)
PEERS=(
  127.0.1.11:18401 127.0.1.12:18402 127.0.1.13:18403
  127.0.2.11:18404 127.0.2.12:18405 127.0.2.13:18406
  127.0.3.11:18407 127.0.3.12:18408 127.0.3.13:18409
)
ORGANISATIONS=(
  head-office
  patan-shops
  kirtipur-shops
  pattern-archive
  bhaktapur-guild
  lalitpur-sewing-school
  shop-counter-tablets
  dhulikhel-collective
)
MODEL=block-writer
ONLINE_ORGANISATION=patan-shops
BATCH_ORGANISATION=pattern-archive
PLAIN_METHOD=GET
PLAIN_PATH=/catalogue/blocks/ohio-star
