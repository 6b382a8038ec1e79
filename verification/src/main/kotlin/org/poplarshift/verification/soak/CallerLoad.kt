package org.poplarshift.verification.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallerClient
import kotlin.coroutines.coroutineContext
import kotlin.random.Random

/** Callers of online requests. Each keeps its node and its connections until the process is gone. */
class CallerLoad(
    private val scope: CoroutineScope,
    private val random: Random,
    private val fleet: SoakFleet,
    private val client: CallerClient,
) {
    private var sent = 0

    /** Factor by which the organisation with a limit exceeds its usual traffic. */
    var limitedFactor = 1

    /** Whether requests are sent. */
    var isRunning = true

    /** Sends requests of all kinds until cancelled or until [isRunning] is false. */
    suspend fun run() {
        repeat(CALLERS) { scope.launch { runCaller() } }
        while (coroutineContext.isActive && isRunning) {
            repeat(limitedFactor) { scope.launch { send(pickNode(), SoakOrganisations.LIMITED_KEY) } }
            delay(LIMITED_INTERVAL_MILLIS)
        }
    }

    private suspend fun runCaller() {
        var node = pickNode()
        while (isRunning) {
            // Callers stay at a node that is stopping, as long as its process lives.
            if (!node.process.isAlive || random.nextInt(CALLS_PER_NODE) == 0) node = pickNode()
            send(node, pickKey())
            delay(random.nextLong(1, MAXIMUM_PAUSE_MILLIS))
        }
    }

    // Some callers go on using a key that was withdrawn.
    private fun pickKey(): String = when (random.nextInt(KEY_CHOICES)) {
        0, 1 -> fleet.organisations.newestKey
        2 -> fleet.organisations.previousKey ?: SoakOrganisations.LASTING_KEY
        else -> SoakOrganisations.LASTING_KEY
    }

    private fun pickNode(): SoakNode =
        fleet.nodes.filter { it.isReady }.randomOrNull(random) ?: fleet.nodes.random(random)

    private suspend fun send(node: SoakNode, key: String) {
        val kind = CallKind.entries.random(random)
        val id = "c${sent++}-${random.nextInt(Int.MAX_VALUE)}"
        val hasBody = random.nextBoolean()
        val call = Call(
            id = id,
            method = if (hasBody) "POST" else "GET",
            uri = "${kind.prefix}$id?x=1",
            host = SoakOrganisations.HOST,
            key = key,
            body = if (hasBody) "body of $id" else "",
            deadlineMillis = DEADLINE_MILLIS,
            resumeAfter = RESUMED_EVENT.takeIf { kind == CallKind.RESUMABLE && sent % RESUMED == 0 },
            isChunked = hasBody && sent % 2 == 0,
            leaveAfterMillis = (1 + sent % LONGEST_STAY_MILLIS).takeIf { sent % LEAVING == 0 },
        )
        val organisation =
            if (key == SoakOrganisations.LIMITED_KEY) SoakOrganisations.LIMITED else SoakOrganisations.FREE
        val sentCall = SentCall(call, kind, organisation, node.name, SoakFleet.now())
        fleet.ledger.onSent(sentCall)
        sentCall.result = client.send(call, node.settings.host, node.settings.callersPort)
    }

    private companion object {
        const val CALLERS = 40

        // One call in so many resumes a stream or leaves early; numbers without a common divisor, so that some do both.
        const val RESUMED = 5
        const val LEAVING = 23
        const val RESUMED_EVENT = 2
        const val LONGEST_STAY_MILLIS = 300L
        const val CALLS_PER_NODE = 40
        const val KEY_CHOICES = 8
        const val MAXIMUM_PAUSE_MILLIS = 600L
        const val LIMITED_INTERVAL_MILLIS = 150L
        const val DEADLINE_MILLIS = 4_000L
    }
}
