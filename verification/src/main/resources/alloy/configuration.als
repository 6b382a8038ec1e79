/*
 * Configuration and keys (docs/design.md, section 5).
 *
 * Operators append records to one log. Nodes read the log, are partitioned from it, restart, and pull the newest
 * configuration from peers. Failures: a delayed read (a node reads nothing for any number of steps), a partition
 * between node and log, duplicate delivery, a restart during a partition, and a race between two operators. An append
 * with an unknown outcome has no action of its own: the operator does not receive the offset, but the record in the log
 * is the same.
 */
module configuration

open util/ordering[Offset]

sig Offset {}

sig Key {}

abstract sig Record { disj offset: one Offset }
sig CataloguePublished extends Record { basedOn: lone Offset }
sig KeyWithdrawn extends Record { key: one Key }

/* Records are immutable. `inLog` grows in order of offset. */
var sig inLog in Record {}

sig Node {
  /* The offset of the newest applied record, or none before the first. */
  var version: lone Offset,
  /* The offset of the catalogue in force. */
  var catalogue: lone Offset,
  var withdrawn: set Key
}
var sig Partitioned in Node {}
var sig Stopped in Node {}

fact OffsetsAreUsedUp { all o: Offset | some offset.o }

pred precedes[a, b: lone Offset] { some b and (no a or lt[a, b]) }

/* The catalogue records that come into force, determined by compare-and-set on basedOn. */
one sig InForce { chain: set CataloguePublished }
fact ChainIsCompareAndSet {
  all r: CataloguePublished |
    r in InForce.chain iff
      (let earlier = { c: InForce.chain | lt[c.offset, r.offset] } |
        no earlier implies no r.basedOn else r.basedOn = max[earlier.offset])
}

fun catalogueAt[o: lone Offset]: lone Offset { max[{ x: InForce.chain.offset | lte[x, o] }] }
fun withdrawnAt[o: lone Offset]: set Key { { r: KeyWithdrawn | lte[r.offset, o] }.key }

pred take[n: Node, o: lone Offset] {
  n.version' = o
  n.catalogue' = catalogueAt[o]
  n.withdrawn' = withdrawnAt[o]
}
pred keep[n: Node] {
  n.version' = n.version
  n.catalogue' = n.catalogue
  n.withdrawn' = n.withdrawn
}

pred init {
  no inLog
  no version and no catalogue and no withdrawn
  no Partitioned and no Stopped
}

pred append {
  some r: Record - inLog {
    all other: Record - inLog - r | lt[r.offset, other.offset]
    inLog' = inLog + r
  }
  all n: Node | keep[n]
  Partitioned' = Partitioned and Stopped' = Stopped
}

/* Reads the first record that is newer than the applied version. A duplicate has no effect. */
pred read[n: Node] {
  n not in Partitioned + Stopped
  some r: inLog {
    precedes[n.version, r.offset]
    no other: inLog | precedes[n.version, other.offset] and lt[other.offset, r.offset]
    take[n, r.offset]
  }
  all m: Node - n | keep[m]
  inLog' = inLog and Partitioned' = Partitioned and Stopped' = Stopped
}

pred pull[n, peer: Node] {
  n + peer in Node - Stopped
  precedes[n.version, peer.version]
  take[n, peer.version]
  all m: Node - n | keep[m]
  inLog' = inLog and Partitioned' = Partitioned and Stopped' = Stopped
}

/* Broken variant: a node applies a peer's configuration without comparing versions. */
pred pullAny[n, peer: Node] {
  n + peer in Node - Stopped
  some peer.version
  take[n, peer.version]
  all m: Node - n | keep[m]
  inLog' = inLog and Partitioned' = Partitioned and Stopped' = Stopped
}

pred cutOrHeal {
  Partitioned' != Partitioned
  inLog' = inLog and Stopped' = Stopped
  all n: Node | keep[n]
}

/* A stopped node loses its state. After a restart it serves no requests until it has a configuration. */
pred stop[n: Node] {
  n not in Stopped
  Stopped' = Stopped + n
  no n.version' and no n.catalogue' and no n.withdrawn'
  all m: Node - n | keep[m]
  inLog' = inLog and Partitioned' = Partitioned
}
pred start[n: Node] {
  n in Stopped
  Stopped' = Stopped - n
  all m: Node | keep[m]
  inLog' = inLog and Partitioned' = Partitioned
}

pred stutter {
  inLog' = inLog and Partitioned' = Partitioned and Stopped' = Stopped
  all n: Node | keep[n]
}

pred common { append or cutOrHeal or stutter or some n: Node | read[n] or stop[n] or start[n] }
pred correct { init and always (common or some n, p: Node | pull[n, p]) }
pred broken { init and always (common or some n, p: Node | pullAny[n, p]) }

/* While a node runs, its version never decreases and a withdrawn key stays withdrawn. */
pred neverReverts {
  always all n: Node |
    n not in Stopped' implies (no n.version or (some n.version' and lte[n.version, n.version']))
      and n.withdrawn in n.withdrawn'
}
/* Two nodes with the same version have the same configuration. */
pred sameVersionSameContent {
  always all n, m: Node | n.version = m.version implies n.catalogue = m.catalogue and n.withdrawn = m.withdrawn
}
/* Of two records that are based on the same version, at most one comes into force. */
pred oneWinner {
  all disj a, b: InForce.chain | a.basedOn != b.basedOn
}

assert ConfigurationNeverReverts { correct implies neverReverts }
assert NodesAgree { correct implies sameVersionSameContent }
assert OneOperatorWins { oneWinner }
assert BrokenPullNeverReverts { broken implies neverReverts }

checkReverts: check ConfigurationNeverReverts for 3 but 2 Node, 3 Offset, 3 Record, 2 Key, 1..7 steps
checkAgree: check NodesAgree for 3 but 2 Node, 3 Offset, 3 Record, 2 Key, 1..7 steps
checkOneWinner: check OneOperatorWins for 4 but 1 Node, 1 steps
checkBroken: check BrokenPullNeverReverts for 3 but 2 Node, 3 Offset, 3 Record, 2 Key, 1..7 steps
reachable: run { correct and eventually (some n: Node | some n.catalogue and some n.withdrawn) } for 3 but 2 Node, 1..7 steps
