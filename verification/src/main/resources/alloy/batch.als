/*
 * Job, item and result records (docs/design.md, section 9).
 *
 * Readers apply the records of one log in order. Holders also send items, which are non-idempotent in this model.
 * Failures: an append whose outcome is unknown takes effect later, any number of times or never; a reader pauses, that
 * is, takes no step, or restarts; a holder that has lost its slot continues, because leases are not modelled. The state
 * of a reader is a function of the offsets that it has read.
 */
module batch

open util/ordering[Offset]

sig Offset {}
one sig Log { var record: Offset -> lone Record }

sig Item {}
abstract sig Record {}
/* An upload. All uploads have the same job identifier. */
sig JobAccepted extends Record {}
/* Also represents the holder's attempt to send the item. */
sig ItemsStarted extends Record { upload: one JobAccepted, item: one Item, holder: one Reader }
/* Each record contains a distinct result. */
sig ResultsRecorded extends Record { resultUpload: one JobAccepted, resultItem: one Item }
sig JobCancelled extends Record {}

sig Reader { var applied: set Offset }

/* Attempts whose item has been sent to a worker. */
var sig Dispatched in ItemsStarted {}
/* Uploads that have been acknowledged to the caller. */
var sig Acknowledged in JobAccepted {}

fact OneAttemptPerHolder {
  all disj a, b: ItemsStarted | a.item != b.item or a.holder != b.holder or a.upload != b.upload
}

/* The first of the offsets [among] at which the log has one of [records]. */
fun firstOf[among: set Offset, records: set Record]: lone Offset { min[among & Log.record.records] }

fun jobOf[among: set Offset]: lone JobAccepted { Log.record[firstOf[among, JobAccepted]] & JobAccepted }
/* Offsets at which item records of the job take effect: after its acceptance and before its cancellation. */
fun effective[among: set Offset]: set Offset {
  { o: among | (some firstOf[among, JobAccepted]) and gt[o, firstOf[among, JobAccepted]]
    and (all c: among & Log.record.JobCancelled | gt[firstOf[among, JobAccepted], c] or lt[o, c]) }
}
fun starts[u: lone JobAccepted, i: Item]: set ItemsStarted { upload.u & item.i }
fun results[u: lone JobAccepted, i: Item]: set ResultsRecorded { resultUpload.u & resultItem.i }

fun startOf[among: set Offset, i: Item]: lone ItemsStarted {
  Log.record[firstOf[effective[among], starts[jobOf[among], i]]] & ItemsStarted
}
fun resultOf[among: set Offset, i: Item]: lone ResultsRecorded {
  Log.record[firstOf[effective[among], results[jobOf[among], i]]] & ResultsRecorded
}
/* Broken variant: the last result wins. */
fun lastResultOf[among: set Offset, i: Item]: lone ResultsRecorded {
  Log.record[max[effective[among] & Log.record.(results[jobOf[among], i])]] & ResultsRecorded
}

pred init { no record and no applied and no Dispatched and no Acknowledged }

pred keepLog { record' = record }
pred keepReaders { applied' = applied }
pred keepOutcomes { Dispatched' = Dispatched and Acknowledged' = Acknowledged }

/* An append takes effect, possibly long after it was sent and possibly more than once. */
pred land[r: Record] {
  let free = Offset - Log.record.Record | some free and record' = record + Log -> min[free] -> r
  keepReaders and keepOutcomes
}
pred read[n: Reader] {
  let unread = Log.record.Record - n.applied | some unread and applied' = applied + n -> min[unread]
  keepLog and keepOutcomes
}
pred restart[n: Reader] {
  some n.applied
  applied' = applied - n -> Offset
  keepLog and keepOutcomes
}
pred dispatch[a: ItemsStarted] {
  a not in Dispatched
  startOf[a.holder.applied, a.item] = a
  no Log.record[a.holder.applied] & JobCancelled
  Dispatched' = Dispatched + a
  keepLog and keepReaders and Acknowledged' = Acknowledged
}
/* Broken variant: the holder sends the item before it has read that its start record is the first. */
pred dispatchUnread[a: ItemsStarted] {
  a not in Dispatched
  Dispatched' = Dispatched + a
  keepLog and keepReaders and Acknowledged' = Acknowledged
}
pred acknowledge[u: JobAccepted] {
  some n: Reader | jobOf[n.applied] = u
  Acknowledged' = Acknowledged + u
  keepLog and keepReaders and Dispatched' = Dispatched
}
/* Broken variant: the job is acknowledged before its acceptance is read, and the append may never take effect. */
pred acknowledgeUnread[u: JobAccepted] {
  Acknowledged' = Acknowledged + u
  keepLog and keepReaders and Dispatched' = Dispatched
}
pred stutter { keepLog and keepReaders and keepOutcomes }

pred common {
  stutter or (some r: Record | land[r]) or (some n: Reader | read[n] or restart[n])
}
pred correct {
  init
  always (common or (some a: ItemsStarted | dispatch[a]) or some u: JobAccepted | acknowledge[u])
}
pred dispatchesUnread { init and always (common or some a: ItemsStarted | dispatchUnread[a]) }
pred acknowledgesUnread { init and always (common or some u: JobAccepted | acknowledgeUnread[u]) }

/* R1: all readers see the same result of an item at all times. */
assert OneResult {
  correct implies all i: Item, x: ResultsRecorded |
    always ((some n: Reader | resultOf[n.applied, i] = x) implies always all n: Reader | resultOf[n.applied, i] in x)
}
assert BrokenLastResultWins {
  correct implies all i: Item, x: ResultsRecorded |
    always ((some n: Reader | lastResultOf[n.applied, i] = x)
      implies always all n: Reader | lastResultOf[n.applied, i] in x)
}

/* R10: a non-idempotent item is sent at most once. */
pred atMostOnce { always all i: Item, u: JobAccepted | lone Dispatched & starts[u, i] }
assert AtMostOnce { correct implies atMostOnce }
assert BrokenDispatchUnread { dispatchesUnread implies atMostOnce }

/* R1: every reader that has read a job has the acknowledged one. */
pred acknowledgedIsTheJob {
  always all u: Acknowledged | always all n: Reader | some jobOf[n.applied] implies jobOf[n.applied] = u
}
assert AcknowledgedStays { correct implies acknowledgedIsTheJob }
assert BrokenAcknowledgeUnread { acknowledgesUnread implies acknowledgedIsTheJob }

/* R2: no start takes effect after the cancellation, and no holder that has read the cancellation sends an item. */
assert NoStartAfterCancel {
  correct implies always all a: ItemsStarted | (a not in Dispatched and after (a in Dispatched)) implies
    no Log.record[a.holder.applied] & JobCancelled
    and (some o: Log.record.a | no c: Log.record.JobCancelled | lt[c, o] and gt[c, firstOf[Offset, JobAccepted]])
}

checkOneResult: check OneResult for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
checkAtMostOnce: check AtMostOnce for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
checkAcknowledged: check AcknowledgedStays for 2 but 1 Item, 3 Offset, 3 Record, 1..8 steps
checkCancel: check NoStartAfterCancel for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
checkLastResult: check BrokenLastResultWins for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
checkDispatchUnread: check BrokenDispatchUnread for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
checkAcknowledgeUnread: check BrokenAcknowledgeUnread for 2 but 1 Item, 4 Offset, 4 Record, 1..8 steps
reachable: run {
  correct and eventually (some Dispatched and some Acknowledged and some n: Reader, i: Item | some resultOf[n.applied, i])
} for 2 but 1 Item, 4 Offset, 4 Record, 1..9 steps
