/*
 * Slots and token leases (docs/design.md, sections 6 and 7).
 *
 * Models one slot, its claims in the log, the votes of the electorate, and the units of one organisation's capacity.
 * Clocks are abstracted to the order that they guarantee: when the waiting time of a new holder is over, all
 * confirmations that were requested before its claim have expired, and so have the token leases granted under them.
 *
 * Failures: message loss, delay, pause and partition are actions that do not occur; duplicate delivery repeats an
 * action; a restart is `end`, after which the new incarnation is a different Vm; the claimant of an append with an
 * unknown outcome sees the claim only when it reads the log.
 */
module ownership

/* An incarnation of a node. All incarnations are in the electorate. */
sig Vm {}
sig Claim { vm: one Vm, supersedes: lone Claim }
sig Token {}

var sig inLog in Claim {}
var lone sig inForce in Claim {}
/* Claims that their claimant has read from the log. */
var sig seen in Claim {}
/* Claims whose waiting time is over. */
var sig started in Claim {}
/* Claims whose lease has an unexpired confirmation. */
var sig confirmed in Claim {}
/* Claims whose confirmation was requested before the claim in force was appended. */
var sig old in Claim {}
var sig ended in Vm {}
one sig Votes { var promised: Vm -> Claim }
one sig Quota {
  var free: Claim -> Token,
  var lent: Claim -> Token,
  var granted: Vm -> Token,
  var wallet: Vm -> Token
}

pred majority[voters: set Vm] { #voters > #(Vm - voters) }
fun usable: set Claim { { c: seen & started & confirmed | c.vm not in ended } }

pred sameTokens { free' = free and lent' = lent and granted' = granted and wallet' = wallet }
pred sameClaims { inLog' = inLog and inForce' = inForce and seen' = seen and started' = started }
pred sameLeases { confirmed' = confirmed and old' = old }
pred sameVotes { promised' = promised and ended' = ended }

pred init {
  no inLog and no inForce and no seen and no started and no confirmed and no old and no ended
  no promised and no free and no lent and no granted and no wallet
}

/* A takeover requires promises of a majority. Ended members count as having promised. */
pred append[c: Claim] {
  c not in inLog and c.vm not in ended
  c.supersedes = inForce and c.vm != inForce.vm
  some inForce implies majority[Votes.promised.inForce + ended]
  inLog' = inLog + c and inForce' = c
  old' = confirmed and confirmed' = confirmed
  seen' = seen and started' = started and sameVotes and sameTokens
}
pred see[c: Claim] {
  c in inLog - seen and c.vm not in ended
  seen' = seen + c
  inLog' = inLog and inForce' = inForce and started' = started
  sameLeases and sameVotes and sameTokens
}
pred promise[v: Vm, c: Claim] {
  c in inForce and v != c.vm and v not in ended
  promised' = promised + Votes -> v -> c and ended' = ended
  sameClaims and sameLeases and sameTokens
}
pred confirmByLog[c: Claim] {
  c in inForce & seen
  confirmed' = confirmed + c and old' = old - c
  sameClaims and sameVotes and sameTokens
}
/* The response to a confirmation request that was sent before the claim in force was appended. */
pred confirmLate[c: Claim] {
  c in seen - inForce and inForce not in started
  confirmed' = confirmed + c and old' = old + c
  sameClaims and sameVotes and sameTokens
}
pred confirmByMajority[c: Claim] {
  c in seen and c.vm not in ended
  majority[Vm - ended - Votes.promised.c]
  confirmed' = confirmed + c and old' = old - c
  sameClaims and sameVotes and sameTokens
}
pred expire[c: Claim] {
  c in confirmed
  confirmed' = confirmed - c and old' = old - c
  sameClaims and sameVotes and sameTokens
}
/* The waiting time is over: old confirmations and the token leases of earlier holders have expired. */
pred start[c: Claim] {
  c in inForce & seen - started
  started' = started + c
  confirmed' = confirmed - (old - c) and no old'
  granted' = granted :> (Token - Quota.lent[Claim - c]) and wallet' = wallet :> (Token - Quota.lent[Claim - c])
  lent' = lent - Quota -> (Claim - c) -> Token
  inLog' = inLog and inForce' = inForce and seen' = seen
  free' = free and sameVotes
}
pred startWithoutWaiting[c: Claim] {
  c in inForce & seen - started
  started' = started + c
  inLog' = inLog and inForce' = inForce and seen' = seen
  sameLeases and sameVotes and sameTokens
}
pred end[v: Vm] {
  v not in ended
  ended' = ended + v and promised' = promised
  free' = free - Quota -> vm.v -> Token and wallet' = wallet - Quota -> v -> Token
  lent' = lent and granted' = granted
  sameClaims and sameLeases
}

pred refill[c: Claim, t: Token] {
  c in usable and t not in Quota.free[c] + Quota.lent[c]
  free' = free + Quota -> c -> t
  lent' = lent and granted' = granted and wallet' = wallet
  sameClaims and sameLeases and sameVotes
}
pred lend[c: Claim, v: Vm, t: Token] {
  c in usable and t in Quota.free[c] and v not in ended
  free' = free - Quota -> c -> t and lent' = lent + Quota -> c -> t
  granted' = granted + Quota -> v -> t and wallet' = wallet
  sameClaims and sameLeases and sameVotes
}
/* A duplicate delivery has no effect, because no request is pending. */
pred receive[v: Vm, t: Token] {
  t in Quota.granted[v] and v not in ended
  granted' = granted - Quota -> v -> t and wallet' = wallet + Quota -> v -> t
  free' = free and lent' = lent
  sameClaims and sameLeases and sameVotes
}
pred spend[v: Vm, t: Token] {
  t in Quota.wallet[v] and v not in ended
  wallet' = wallet - Quota -> v -> t
  free' = free and lent' = lent and granted' = granted
  sameClaims and sameLeases and sameVotes
}
/* The receiver reports that the lease is used up. */
pred settle[c: Claim, t: Token] {
  t in Quota.lent[c] and t not in Quota.granted[Vm] + Quota.wallet[Vm]
  lent' = lent - Quota -> c -> t
  free' = free and granted' = granted and wallet' = wallet
  sameClaims and sameLeases and sameVotes
}
/* The lease has expired at every receiver before the grantor restores its capacity. */
pred restore[c: Claim, t: Token] {
  t in Quota.lent[c]
  lent' = lent - Quota -> c -> t
  granted' = granted - Quota -> Vm -> t and wallet' = wallet - Quota -> Vm -> t
  free' = free
  sameClaims and sameLeases and sameVotes
}
pred restoreTooEarly[c: Claim, t: Token] {
  t in Quota.lent[c]
  lent' = lent - Quota -> c -> t
  free' = free and granted' = granted and wallet' = wallet
  sameClaims and sameLeases and sameVotes
}
pred stutter { sameClaims and sameLeases and sameVotes and sameTokens }

pred common {
  stutter
  or (some c: Claim | append[c] or see[c] or confirmByLog[c] or confirmLate[c] or confirmByMajority[c] or expire[c])
  or (some v: Vm | end[v] or some c: Claim | promise[v, c])
  or (some c: Claim, t: Token | refill[c, t] or settle[c, t] or some v: Vm | lend[c, v, t])
  or (some v: Vm, t: Token | receive[v, t] or spend[v, t])
}
pred specified { init and always (common or (some c: Claim | start[c] or some t: Token | restore[c, t])) }
pred withoutWaiting { init and always (common or some c: Claim | startWithoutWaiting[c]) }
pred earlyRestore {
  init and always (common or (some c: Claim | start[c] or some t: Token | restoreTooEarly[c, t]))
}

pred oneHolder { always lone usable }
/* A unit of the capacity is available at most once: free at one holder, or granted to one Vm or in its wallet. */
pred oneUnit {
  always all t: Token {
    lone { c: usable | t in Quota.free[c] }
    lone { v: Vm - ended | t in Quota.granted[v] + Quota.wallet[v] }
    no { c: usable | t in Quota.free[c] } or no { v: Vm - ended | t in Quota.granted[v] + Quota.wallet[v] }
  }
}

checkHolder: check { specified implies oneHolder } for exactly 3 Vm, 3 Claim, 0 Token, 11 steps
checkTokens: check { specified implies oneUnit } for exactly 3 Vm, 2 Claim, 1 Token, 11 steps
checkWithoutWaiting: check { withoutWaiting implies oneHolder } for exactly 3 Vm, 2 Claim, 0 Token, 11 steps
checkEarlyRestore: check { earlyRestore implies oneUnit } for exactly 3 Vm, 1 Claim, 1 Token, 9 steps
reachable: run {
  specified and eventually (some c: usable | some c.supersedes and some Quota.free[c])
} for exactly 3 Vm, 2 Claim, 1 Token, 12 steps
