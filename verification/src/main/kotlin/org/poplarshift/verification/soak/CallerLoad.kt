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

    private fun pickNode(except: String? = null): SoakNode {
        val others = fleet.nodes.filter { it.name != except }.ifEmpty { fleet.nodes }
        return others.filter { it.isReady }.randomOrNull(random) ?: others.random(random)
    }

    private suspend fun send(node: SoakNode, key: String) {
        val kind = CallKind.entries.random(random)
        val id = nextId()
        val hasBody = random.nextBoolean()
        val isLeaving = sent % LEAVING == 0 || kind == CallKind.RESUMABLE && sent % RESUMABLE_LEAVING == 0
        val call = Call(
            id = id,
            method = if (hasBody) "POST" else "GET",
            uri = "${kind.prefix}$id?x=1",
            host = SoakOrganisations.HOST,
            key = key,
            body = if (hasBody) "body of $id" else "",
            deadlineMillis = DEADLINE_MILLIS,
            isChunked = hasBody && sent % 2 == 0,
            leaveAfterMillis = (1 + sent % LONGEST_STAY_MILLIS).takeIf { isLeaving },
        )
        val sentCall = transmit(call, kind, node)
        if (kind == CallKind.RESUMABLE) takeUp(sentCall)
    }

    /** Resumes the stream that [beginning] has begun, at other nodes, until it is complete. */
    private suspend fun takeUp(beginning: SentCall) {
        var last = beginning
        var events = beginning.versions
        val version = events.values.firstOrNull() ?: return
        repeat(TAKE_UPS) {
            if (last.result?.isComplete == true && last.result?.status == OK) return
            delay(random.nextLong(1, MAXIMUM_PAUSE_MILLIS))
            val call = beginning.call.copy(
                id = nextId(),
                resumeAfter = events.keys.max(),
                resumedRequestId = beginning.call.id,
                leaveAfterMillis = null,
            )
            val takeUp = TakeUp(beginning, fleet.workers.servingEngines(version))
            last = transmit(call, beginning.kind, pickNode(except = last.node), takeUp)
            events = events + last.versions
        }
    }

    private fun nextId() = "c${sent++}-${random.nextInt(Int.MAX_VALUE)}"

    private suspend fun transmit(call: Call, kind: CallKind, node: SoakNode, takeUp: TakeUp? = null): SentCall {
        val isLimited = call.key == SoakOrganisations.LIMITED_KEY
        val organisation = if (isLimited) SoakOrganisations.LIMITED else SoakOrganisations.FREE
        val sentCall = SentCall(call, kind, organisation, node.name, SoakFleet.now(), takeUp)
        fleet.ledger.onSent(sentCall)
        sentCall.result = client.send(call, node.settings.host, node.settings.callersPort)
        return sentCall
    }

    private companion object {
        const val CALLERS = 40

        // One call in so many leaves early, of those whose streams may be resumed more.
        const val RESUMABLE_LEAVING = 5
        const val LEAVING = 23
        const val TAKE_UPS = 3
        const val OK = 200
        const val LONGEST_STAY_MILLIS = 300L
        const val CALLS_PER_NODE = 40
        const val KEY_CHOICES = 8
        const val MAXIMUM_PAUSE_MILLIS = 600L
        const val LIMITED_INTERVAL_MILLIS = 150L
        const val DEADLINE_MILLIS = 4_000L
    }
}
