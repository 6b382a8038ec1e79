package org.poplarshift.core.idempotency

import org.poplarshift.core.batch.sequence.SimulatedLog
import org.poplarshift.core.idempotency.RequestRecord.RequestAbandoned
import org.poplarshift.core.idempotency.RequestRecord.RequestFinished
import org.poplarshift.core.idempotency.RequestRecord.RequestStarted
import kotlin.random.Random

/** Simulates nodes that receive requests with few keys in virtual time. All random choices derive from the seed. */
class RequestSimulation(seed: Long, private val startBeforeDispatch: Boolean) {
    private class Attempt(val key: RequestKey, val digest: String, val requestId: String) {
        val outgoing = ArrayDeque<RequestRecord>()
        var startOffset: Long? = null
        var isDispatched = false
        var isFinished = false
    }

    private class Node(val incarnation: String) {
        val index = RequestIndex()
        val attempts = ArrayList<Attempt>()
        var isPaused = false
    }

    private val random = Random(seed)
    private val log = SimulatedLog<RequestRecord>(random)
    private var nowMillis = 0L
    private var counter = 0
    private val nodes = MutableList(3) { Node("node$it.0") }
    private val dispatches = HashMap<RequestKey, MutableList<Long>>()
    private val answers = HashMap<String, Int>()

    fun step() {
        nowMillis += random.nextLong(STEP_MILLIS)
        val node = nodes.random(random)
        when (random.nextInt(12)) {
            0 -> nodes[nodes.indexOf(node)] = Node("${node.incarnation.substringBefore('.')}.${++counter}")
            1 -> node.isPaused = !node.isPaused
            2 -> log.commitDelayed(nowMillis)
            3, 4, 5 -> if (!node.isPaused) receive(node)
            else -> if (!node.isPaused) work(node)
        }
    }

    private fun receive(node: Node) {
        val key = RequestKey("organisation", "key${random.nextInt(4)}")
        val digest = "digest${random.nextInt(10) / 9}"
        val decision = node.index.decide(key, digest, null, nowMillis) { name -> nodes.any { it.incarnation == name } }
        if (decision is RequestDecision.Replay) checkReplay(decision)
        if (decision != RequestDecision.Start) return
        val attempt = Attempt(key, digest, "request${++counter}")
        node.attempts += attempt
        attempt.outgoing += RequestStarted(
            organisation = key.organisation,
            keyHash = key.keyHash,
            digest = digest,
            requestId = attempt.requestId,
            node = node.incarnation,
            atMillis = nowMillis,
            windowMillis = WINDOW_MILLIS,
        )
        if (!startBeforeDispatch) dispatch(attempt)
    }

    private fun checkReplay(decision: RequestDecision.Replay) {
        val record = log.read(decision.finishedOffset) as RequestFinished
        check(answers[record.requestId] == record.status) {
            "the replay of ${record.requestId} differs from its response"
        }
    }

    private fun work(node: Node) {
        val end = minOf(log.end, node.index.nextOffset + random.nextInt(6))
        for (offset in node.index.nextOffset until end) node.index.apply(offset, log.read(offset))
        node.index.removeExpired(nowMillis)
        node.attempts.forEach(::send)
        node.attempts.filter { !it.isFinished && it.isStartedAt(node) }.forEach { decideStarted(node, it) }
        node.attempts.filter { it.isDispatched && !it.isFinished }.randomOrNull(random)?.let(::answer)
    }

    private fun send(attempt: Attempt) {
        val record = attempt.outgoing.firstOrNull() ?: return
        val offset = log.append(record, nowMillis)
        if (offset != null) attempt.outgoing.removeFirst()
        if (record !is RequestStarted) return
        if (offset != null) attempt.startOffset = offset
        if (offset == null && !attempt.isDispatched && random.nextInt(3) == 0) abandon(attempt)
    }

    private fun Attempt.isStartedAt(node: Node) =
        !isDispatched && startOffset?.let { it < node.index.nextOffset } ?: false

    private fun decideStarted(node: Node, attempt: Attempt) {
        val decision = node.index.decide(attempt.key, attempt.digest, attempt.requestId, nowMillis) { true }
        when {
            decision !is RequestDecision.Run -> attempt.isFinished = true
            random.nextInt(5) == 0 -> abandon(attempt)
            else -> dispatch(attempt)
        }
    }

    private fun abandon(attempt: Attempt) {
        attempt.isFinished = true
        attempt.outgoing.clear()
        attempt.outgoing += RequestAbandoned(attempt.key.organisation, attempt.key.keyHash, attempt.requestId)
    }

    private fun dispatch(attempt: Attempt) {
        attempt.isDispatched = true
        val times = dispatches.getOrPut(attempt.key) { ArrayList() }
        val last = times.lastOrNull()
        check(last == null || last + WINDOW_MILLIS - MAXIMUM_WAIT_MILLIS <= nowMillis) { "${attempt.key} ran twice" }
        times += nowMillis
    }

    private fun answer(attempt: Attempt) {
        attempt.isFinished = true
        answers[attempt.requestId] = counter
        attempt.outgoing += RequestFinished(
            organisation = attempt.key.organisation,
            keyHash = attempt.key.keyHash,
            requestId = attempt.requestId,
            status = counter,
            contentType = "application/json",
            body = "{}",
        )
    }

    private companion object {
        const val STEP_MILLIS = 20_000L
        const val WINDOW_MILLIS = 2 * 3_600_000L

        // The window of an attempt begins when its record is created, and a paused node can dispatch much later.
        const val MAXIMUM_WAIT_MILLIS = 1_800_000L
    }
}
