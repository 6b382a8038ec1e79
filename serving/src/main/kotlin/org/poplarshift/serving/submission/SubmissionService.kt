package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.submission.ItemResult
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.ProposedItem
import org.poplarshift.core.submission.StoredResult
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.CallerSink
import org.poplarshift.serving.ingress.CallHandlers
import org.poplarshift.serving.ingress.CallerOperation
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.ingress.IncomingCall
import org.poplarshift.serving.ingress.Refusal
import org.poplarshift.serving.ingress.SubmittedItem
import org.poplarshift.serving.observe.CallRecord
import java.nio.ByteBuffer

/**
 * Handles the calls of callers that concern batch submissions.
 *
 * Each handler returns the refusal to send to the caller, or null if it has sent the response itself.
 */
class SubmissionService(
    private val store: SubmissionStore,
    private val protocol: CallerProtocol,
    private val clock: MonotonicClock,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    /** Accepts a submission after it has been written to the log. */
    suspend fun submit(
        id: String,
        route: IngressRoute,
        organisation: IngressOrganisation?,
        incoming: IncomingCall,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        val owner = organisation?.name.orEmpty()
        val partition = store.partitionOf(owner)
        if (!partition.follower.isStarted) return Refusal.NOT_CAUGHT_UP
        val existing = partition.ledger.find(id)
        if (existing != null) return handleDuplicate(existing, owner, sink, record)
        val items = protocol.decodeSubmission(incoming.body) ?: return Refusal.BAD_REQUEST
        val batchSettings = route.batch ?: return Refusal.BAD_REQUEST
        val tokens = items.sumOf { it.tokens }
        if (!partition.ledger.fits(owner, route.name, tokens, batchSettings.waitingTokensLimit)) {
            return refuseWaitingTokens(partition, id, owner, sink, record)
        }
        val proposal = createProposal(id, route, owner, items)
        val content = joinBodies(items)
        return when (val result = write(partition, proposal, content, record)) {
            is WriteResult.Refused -> Refusal.LOG_UNAVAILABLE
            is WriteResult.Unknown -> Refusal.OUTCOME_UNKNOWN
            is WriteResult.Applied -> handleEffect(result.effect, sink, record)
        }
    }

    /** Returns a page of results. Waits for the first new result if the caller requests it. */
    suspend fun read(
        operation: CallerOperation.ReadResults,
        organisation: IngressOrganisation?,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        val owner = organisation?.name.orEmpty()
        val partition = store.partitionOf(owner)
        val id = operation.submission
        refuseIfMissing(partition, id, owner)?.let { return it }
        val endMillis = clock.millis() + minOf(operation.waitMillis, MAXIMUM_WAIT_MILLIS)
        while (true) {
            val state = find(id, owner) ?: return Refusal.NOT_CAUGHT_UP
            val remainingMillis = endMillis - clock.millis()
            if (operation.after < state.results.size || remainingMillis <= 0 || state.isComplete) break
            partition.awaitChange(remainingMillis)
        }
        if (mayLackResults(find(id, owner), operation.after) &&
            !partition.isCurrent(MAXIMUM_READ_AGE_MILLIS) &&
            !partition.catchUp()
        ) {
            return Refusal.NOT_CAUGHT_UP
        }
        val state = find(id, owner) ?: return Refusal.NOT_CAUGHT_UP
        val isSent = sendResults(partition, state, operation.after, sink)
        if (!isSent) return Refusal.LOG_UNAVAILABLE
        record.end("read")
        return null
    }

    private fun mayLackResults(state: SubmissionState?, after: Int): Boolean =
        state == null || (after >= state.results.size && !state.isComplete)

    /** Returns the request body of an item. */
    suspend fun readItem(
        operation: CallerOperation.ReadItem,
        organisation: IngressOrganisation?,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        val owner = organisation?.name.orEmpty()
        refuseIfMissing(store.partitionOf(owner), operation.submission, owner)?.let { return it }
        val state = find(operation.submission, owner) ?: return Refusal.NOT_CAUGHT_UP
        val item = state.item(operation.item) ?: return Refusal.UNKNOWN_ITEM
        val body = withTimeoutOrNull(MAXIMUM_CONTENT_READ_MILLIS) { store.partitionOf(owner).read(item.body) }
        if (body == null) return Refusal.LOG_UNAVAILABLE
        CallHandlers.respond(sink, OK, Buffer.buffer(body), "application/octet-stream")
        record.end("read")
        return null
    }

    /** Ends a submission. Responds after the end has been written to the log. */
    suspend fun end(
        operation: CallerOperation.EndSubmission,
        organisation: IngressOrganisation?,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        val owner = organisation?.name.orEmpty()
        val partition = store.partitionOf(owner)
        refuseIfMissing(partition, operation.submission, owner)?.let { return it }
        val state = find(operation.submission, owner) ?: return Refusal.NOT_CAUGHT_UP
        if (!state.isEnded) {
            when (partition.write(SubmissionRecord.Ended(operation.submission), ByteArray(0))) {
                is WriteResult.Applied -> Unit
                is WriteResult.Refused -> return Refusal.LOG_UNAVAILABLE
                is WriteResult.Unknown -> return Refusal.OUTCOME_UNKNOWN
            }
        }
        CallHandlers.respond(sink, OK, Buffer.buffer(), contentType = null)
        record.end("ended")
        return null
    }

    private fun find(id: String, owner: String): SubmissionState? = store.find(id, owner)

    // Only a node that has read the whole log may report that a submission does not exist.
    private suspend fun refuseIfMissing(partition: SubmissionPartition, id: String, owner: String): Refusal? = when {
        find(id, owner) != null -> null
        !partition.catchUp() -> Refusal.NOT_CAUGHT_UP
        find(id, owner) == null -> Refusal.UNKNOWN_SUBMISSION
        else -> null
    }

    // Another node may have accepted the submission. Refusing it would state that it does not run.
    private suspend fun refuseWaitingTokens(
        partition: SubmissionPartition,
        id: String,
        owner: String,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        if (!partition.isCurrent(MAXIMUM_READ_AGE_MILLIS) && !partition.catchUp()) return Refusal.NOT_CAUGHT_UP
        val existing = partition.ledger.find(id) ?: return Refusal.WAITING_TOKENS
        return handleDuplicate(existing, owner, sink, record)
    }

    // The log refuses appends when too many are queued. A retry here is cheaper than another call by the caller.
    private suspend fun write(
        partition: SubmissionPartition,
        proposal: SubmissionRecord.Proposed,
        content: ByteArray,
        record: CallRecord,
    ): WriteResult {
        repeat(APPEND_RETRIES) {
            val result = partition.write(proposal, content) { record.attempts = record.attempts + "log:appended" }
            if (result !is WriteResult.Refused) return result
            record.attempts = record.attempts + "log:${result.reason}"
            delay(APPEND_RETRY_MILLIS)
        }
        return partition.write(proposal, content) { record.attempts = record.attempts + "log:appended" }
    }

    private fun createProposal(
        id: String,
        route: IngressRoute,
        owner: String,
        items: List<SubmittedItem>,
    ): SubmissionRecord.Proposed {
        val batchSettings = checkNotNull(route.batch)
        return SubmissionRecord.Proposed(
            submission = id,
            organisation = owner,
            route = route.name,
            host = route.host,
            service = route.chooseService(Math.random()).orEmpty(),
            waitingTokensLimit = batchSettings.waitingTokensLimit,
            firstSentMillis = wallClockMillis(),
            dueMillis = batchSettings.dueMillis,
            abandonMillis = batchSettings.abandonMillis,
            maximumAttempts = route.maximumAttempts,
            items = items.map { ProposedItem(it.id, it.path, it.headers, it.tokens, it.body.size) },
        )
    }

    private fun handleDuplicate(
        existing: SubmissionState,
        owner: String,
        sink: CallerSink,
        record: CallRecord,
    ): Refusal? {
        if (existing.proposal.organisation != owner) return Refusal.BAD_REQUEST
        return sendAccepted(sink, record)
    }

    private fun handleEffect(effect: LedgerEffect, sink: CallerSink, record: CallRecord): Refusal? = when (effect) {
        is LedgerEffect.Accepted, LedgerEffect.Duplicate -> sendAccepted(sink, record)
        LedgerEffect.Rejected -> Refusal.WAITING_TOKENS
        else -> Refusal.BAD_REQUEST
    }

    private fun sendAccepted(sink: CallerSink, record: CallRecord): Refusal? {
        record.end("accepted")
        CallHandlers.respond(sink, ACCEPTED, Buffer.buffer(), contentType = null)
        return null
    }

    /**
     * Sends the results that can be read from the log in time. Returns false if there are results but none could be
     * read.
     */
    private suspend fun sendResults(
        partition: SubmissionPartition,
        state: SubmissionState,
        after: Int,
        sink: CallerSink,
    ): Boolean {
        val from = maxOf(after, 0)
        if (from > state.results.size) reportLackingResults(state, from)
        // A copy, because results may be added while outputs are read.
        val results = state.results.drop(from)
        val page = readPage(partition, results)
        if (page.isEmpty() && results.isNotEmpty()) return false
        val body = protocol.encodeResults(state.items.size, from + page.size, page)
        CallHandlers.respond(sink, OK, body, "application/json")
        return true
    }

    private suspend fun readPage(partition: SubmissionPartition, results: List<StoredResult>): List<ItemResult> {
        val page = ArrayList<ItemResult>()
        withTimeoutOrNull(MAXIMUM_CONTENT_READ_MILLIS) {
            for (results in selectPage(results).chunked(CONCURRENT_READS)) {
                if (!readConcurrently(partition, results, page)) break
            }
        }
        return page
    }

    /** Adds [results] with their outputs to [page], up to the first one that can't be read. Returns whether all were added. */
    private suspend fun readConcurrently(
        partition: SubmissionPartition,
        results: List<StoredResult>,
        page: MutableList<ItemResult>,
    ): Boolean = coroutineScope {
        val outputs = results.map { async { partition.read(it.output) } }
        for ((result, output) in results.zip(outputs)) {
            val bytes = output.await() ?: break
            page += ItemResult(result.item, result.isComplete, bytes)
        }
        outputs.forEach { it.cancel() }
        page.lastOrNull()?.item == results.last().item
    }

    private fun selectPage(results: List<StoredResult>): List<StoredResult> {
        var bytes = 0L
        val following = results.drop(1).takeWhile {
            bytes += it.output.length
            bytes + results.first().output.length <= MAXIMUM_PAGE_BYTES
        }
        return results.take(1) + following
    }

    private fun joinBodies(items: List<SubmittedItem>): ByteArray {
        val joined = ByteBuffer.allocate(items.sumOf { it.body.size })
        items.forEach { joined.put(it.body) }
        return joined.array()
    }

    // The caller continues at the position that it asked for. A smaller one would take back results that another node
    // may have shown it.
    private fun reportLackingResults(state: SubmissionState, from: Int) = logger.atInfo {
        message = "submission: a caller has asked for a position after the last result that this node knows"
        payload = mapOf(
            "submission" to state.proposal.submission,
            "position" to from,
            "results" to state.results.size,
            "items" to state.items.size,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200
        const val ACCEPTED = 202

        // Callers time out 1.5 s after the wait time that they request.
        const val MAXIMUM_WAIT_MILLIS = 1_000L

        // A result that another node has listed must be listed here within a second. A waiting read of the log may miss
        // it for longer.
        const val MAXIMUM_READ_AGE_MILLIS = 300L

        // Callers time out after 1.5 s. Results that can't be read in this time follow in the next page.
        const val MAXIMUM_CONTENT_READ_MILLIS = 1_000L

        // The limit for a page is 1 MB. The difference leaves room for escaping.
        const val MAXIMUM_PAGE_BYTES = 800_000
        const val APPEND_RETRIES = 1
        const val CONCURRENT_READS = 8
        const val APPEND_RETRY_MILLIS = 80L
    }
}
