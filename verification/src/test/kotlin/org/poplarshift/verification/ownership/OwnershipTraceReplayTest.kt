package org.poplarshift.verification.ownership

import edu.mit.csail.sdg.translator.A4Solution
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.OwnershipRecord
import org.poplarshift.core.ownership.OwnershipRecord.SlotClaimed
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.ownership.SlotConfirmRequest
import org.poplarshift.core.ownership.SlotPromiseRequest
import org.poplarshift.core.ownership.SlotTimes
import org.poplarshift.core.ownership.SlotVersion
import org.poplarshift.core.ownership.VmIdentity
import org.poplarshift.verification.alloy.AlloyModelChecker

/**
 * Guards against two holders of a slot. Replays the counterexample of the variant `withoutWaiting`, in which a new
 * holder does not wait until the confirmations of the former holder have expired.
 */
class OwnershipTraceReplayTest :
    FunSpec({
        val checker = AlloyModelChecker("ownership.als")
        val trace = checker.run("checkWithoutWaiting")

        test("the counterexample in which a new holder does not wait yields at most one holder") {
            TraceReplay(checker, trace, SlotTimes()).maximumHolders() shouldBe 1
        }

        test("the counterexample yields two holders when the waiting time is zero") {
            TraceReplay(checker, trace, SlotTimes(driftShare = -0.5)).maximumHolders() shouldBe 2
        }
    })

/** Replays the actions of [trace] on one [OwnershipProtocol] for each incarnation, one state every 100 ms. */
private class TraceReplay(
    private val checker: AlloyModelChecker,
    private val trace: A4Solution,
    private val times: SlotTimes,
) {
    private val slot = Slot("zone", 0)
    private val records = mutableListOf<OwnershipRecord>()
    private val offsets = mutableMapOf<String, Long>()
    private val appendedMillis = mutableMapOf<String, Long>()
    private val claimantOf = checker.evaluate(trace, "vm", 0).associate { (claim, vm) -> claim to vm }
    private val supersededBy = checker.evaluate(trace, "supersedes", 0).associate { (claim, former) -> claim to former }
    private val keepers = checker.evaluate(trace, "Vm", 0).associate { (vm) -> vm to keeper(vm) }
    private var nowMillis = 0L

    /** Replays the trace and returns the maximum number of incarnations with a usable lease at the same time. */
    fun maximumHolders(): Int {
        keepers.values.forEach { read(it) }
        return (0 until trace.traceLength).maxOf { state ->
            nowMillis += STEP_MILLIS
            replay(state)
            keepers.values.count { it.lease(slot)?.isUsable(nowMillis) ?: false }
        }
    }

    private fun replay(state: Int) {
        claims("append", state).forEach { append(it) }
        claims("see", state).forEach { read(keeperOf(it), through = offsets.getValue(it), startedMillis(it)) }
        claims("confirmByLog", state).forEach { read(keeperOf(it)) }
        claims("confirmLate", state).forEach { keeperOf(it).onReadToEnd(startedMillis(it)) }
        claims("confirmByMajority", state).forEach { confirm(it) }
        checker.evaluate(trace, "{ v: Vm, c: Claim | promise[v, c] }", state).forEach { (vm, claim) ->
            keepers.getValue(vm).promise(SlotPromiseRequest("claimant", version(claim)), nowMillis)
        }
    }

    private fun keeper(vm: String): OwnershipProtocol {
        val identity = VmIdentity(vm, vm, slot.availabilityZone, peerAddress = vm)
        records += identity.joinRecord()
        return OwnershipProtocol(identity, times)
    }

    private fun claims(action: String, state: Int): List<String> =
        checker.evaluate(trace, "{ c: Claim | $action[c] }", state).map { it.single() }

    private fun keeperOf(claim: String) = keepers.getValue(claimantOf.getValue(claim))

    private fun version(claim: String) = SlotVersion(slot, offsets.getValue(claim))

    private fun append(claim: String) {
        val former = supersededBy[claim]?.let { offsets.getValue(it) }
        offsets[claim] = records.size.toLong()
        appendedMillis[claim] = nowMillis
        val claimant = claimantOf.getValue(claim)
        records += SlotClaimed(slot, claimant, former, knownThrough = records.size - 1L, promised = former != null)
    }

    /** Returns the start time of a read that shows [claim] in force: before a claim that supersedes it is appended. */
    private fun startedMillis(claim: String): Long {
        val next = supersededBy.filterValues { it == claim }.keys.mapNotNull { appendedMillis[it] }.minOrNull()
        return next?.let { it - 1 } ?: nowMillis
    }

    private fun read(keeper: OwnershipProtocol, through: Long = records.size - 1L, startedMillis: Long = nowMillis) {
        val from = keeper.state.nextOffset
        (from..through).forEach { keeper.apply(it, records[it.toInt()], nowMillis) }
        keeper.onReadToEnd(startedMillis)
    }

    private fun confirm(claim: String) {
        val request = SlotConfirmRequest(claimantOf.getValue(claim), listOf(version(claim)))
        (keepers.values - keeperOf(claim)).forEach { voter ->
            keeperOf(claim).onConfirmResponse(voter.confirm(request, nowMillis), nowMillis, nowMillis)
        }
    }

    private companion object {
        const val STEP_MILLIS = 100L
    }
}
