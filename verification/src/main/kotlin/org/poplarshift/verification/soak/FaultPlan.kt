package org.poplarshift.verification.soak

import org.poplarshift.standins.http.Outage
import org.poplarshift.standins.store.StoreFaults
import org.poplarshift.standins.worker.ResponseFault
import org.poplarshift.standins.worker.ResponseForm
import kotlin.random.Random

/** Draws the faults of a soak and the pauses between them. */
class FaultPlan(private val random: Random, private val nodes: Int) {
    /** Milliseconds until the next fault. Faults overlap, because most last longer. */
    fun nextPauseMillis(): Long = random.nextLong(1, MAXIMUM_PAUSE_MILLIS)

    /** The next fault. */
    fun next(): SoakFault = when (random.nextInt(KINDS)) {
        0 -> SoakFault.Kill(random.nextInt(1, nodes))
        1 -> if (random.nextInt(RARE) == 0) SoakFault.KillAll(duration()) else SoakFault.Kill(1)
        2 -> SoakFault.Pause(duration())
        3, 4 -> SoakFault.Terminate(random.nextInt(1, nodes), random.nextLong(MAXIMUM_GAP_MILLIS))
        5 -> SoakFault.HangUp(random.nextInt(1, MAXIMUM_SIGNALS))
        6, 7 -> SoakFault.Store(random.nextInt(1, nodes + 1), storeFaults(), duration())
        8 -> if (random.nextBoolean()) SoakFault.ForgetHistory else SoakFault.Redistribute
        9, 10, 11, 12 -> SoakFault.Responses(responseFault(), random.nextDouble(MAXIMUM_SHARE), duration())
        13 -> SoakFault.WorkerCrash
        14 -> SoakFault.WorkerRestart(random.nextLong(MAXIMUM_GAP_MILLIS))
        15 -> SoakFault.WorkerDrain
        16 -> SoakFault.WorkerSlow(random.nextLong(SLOWEST_PACE_MILLIS), duration())
        17 -> SoakFault.ReplaceKey
        18 -> SoakFault.Configurations(random.nextInt(1, MAXIMUM_SIGNALS))
        19 -> SoakFault.HotOrganisation(random.nextInt(2, HOTTEST), duration())
        else -> SoakFault.SubmissionBurst(random.nextInt(2, LARGEST_BURST), duration())
    }

    private fun storeFaults(): StoreFaults = when (random.nextInt(STORE_KINDS)) {
        0 -> StoreFaults(outage = Outage.REFUSE)
        1 -> StoreFaults(outage = Outage.DROP)
        2 -> StoreFaults(outage = Outage.SILENT)
        3 -> StoreFaults(throttledShare = random.nextDouble())
        4 -> StoreFaults(delayMillis = random.nextLong(MAXIMUM_DELAY_MILLIS))
        5 -> StoreFaults(lostShare = random.nextDouble(MAXIMUM_LOST_SHARE))
        else -> StoreFaults(lateShare = random.nextDouble(MAXIMUM_LOST_SHARE))
    }

    private fun responseFault(): ResponseFault = when (random.nextInt(RESPONSE_KINDS)) {
        0 -> ResponseFault.Failure(listOf(500, 500, 502, 404).random(random))
        1 -> ResponseFault.Refusal
        2 -> ResponseFault.Lost
        3 -> ResponseFault.Silence
        4, 5 -> ResponseFault.Cut(isInHead = random.nextBoolean(), isReset = random.nextBoolean())
        6 -> ResponseFault.Unframed()
        7 -> ResponseFault.Fragment(ResponseFault.Moment.entries.random(random))
        else -> repeated(ResponseFault.Moment.entries.random(random), hasId = random.nextBoolean())
    }

    private fun repeated(moment: ResponseFault.Moment, hasId: Boolean) =
        ResponseFault.Twice(second = ResponseForm(ResponseForm.Content.SUCCESS, hasId = hasId), moment = moment)

    private fun duration(): Long = random.nextLong(MINIMUM_MILLIS, MAXIMUM_MILLIS)

    private companion object {
        const val KINDS = 21
        const val STORE_KINDS = 7
        const val RESPONSE_KINDS = 10
        const val RARE = 3
        const val MAXIMUM_PAUSE_MILLIS = 2_500L
        const val MAXIMUM_GAP_MILLIS = 2_000L
        const val MINIMUM_MILLIS = 200L
        const val MAXIMUM_MILLIS = 5_000L
        const val MAXIMUM_SIGNALS = 8
        const val MAXIMUM_SHARE = 0.3
        const val MAXIMUM_LOST_SHARE = 0.6
        const val MAXIMUM_DELAY_MILLIS = 1_200L
        const val SLOWEST_PACE_MILLIS = 300L
        const val HOTTEST = 12
        const val LARGEST_BURST = 8
    }
}
