package org.poplarshift.verification.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.caller.CallerClient
import org.poplarshift.standins.caller.CallerUris
import org.poplarshift.standins.caller.ResultPage
import org.poplarshift.standins.store.OperatorRecords
import kotlin.random.Random

/** Callers of batch submissions: they submit, read results from any node and position, and end some submissions. */
class SubmissionLoad(
    private val scope: CoroutineScope,
    private val random: Random,
    private val fleet: SoakFleet,
    private val client: CallerClient,
) {
    private var sent = 0

    /** Number of submissions at a time. */
    var burst = 1

    /** Whether submissions are sent and results are read. */
    var isRunning = true

    /** Sends submissions until [isRunning] is false. */
    suspend fun run() {
        while (isRunning) {
            repeat(burst) { scope.launch { serve(createSubmission()) } }
            delay(random.nextLong(1, MAXIMUM_PAUSE_MILLIS))
        }
    }

    /** Reads all results of [submission] from [node], from the start, as far as they are listed. */
    suspend fun readAll(submission: SentSubmission, node: SoakNode): List<ResultPage.Entry>? {
        val entries = ArrayList<ResultPage.Entry>()
        while (true) {
            val page = readPage(submission, node, entries.size, waitMillis = 0).page ?: return null
            if (page.results.isEmpty()) return entries
            entries += page.results
        }
    }

    private fun createSubmission(): SentSubmission {
        val id = "s${sent++}-${random.nextInt(Int.MAX_VALUE)}"
        val items = List(random.nextInt(1, MAXIMUM_ITEMS)) {
            SentItem("$id-$it", "${SoakOrganisations.BATCH_PREFIX}$id/$it")
        }
        return SentSubmission(id, SoakOrganisations.FREE, items).also { fleet.ledger.onSent(it) }
    }

    private suspend fun serve(submission: SentSubmission) {
        repeat(SUBMIT_ATTEMPTS) {
            if (submission.acceptedMillis != null) return@repeat
            val result = submit(submission)
            submission.statuses += result.status.takeIf { result.isComplete }
            if (result.status == ACCEPTED) submission.acceptedMillis = result.endMillis else delay(RETRY_MILLIS)
        }
        if (submission.acceptedMillis == null) return
        val isToBeEnded = random.nextInt(ENDED_SHARE) == 0
        while (isRunning && submission.results.size < submission.items.size && submission.endedMillis == null) {
            delay(random.nextLong(1, READ_PAUSE_MILLIS))
            when {
                isToBeEnded && random.nextInt(READS_BEFORE_END) == 0 -> end(submission)
                random.nextInt(REPEATED_SHARE) == 0 -> submit(submission)
                else -> readSome(submission)
            }
        }
    }

    // Used again for an accepted submission, as by a caller that has missed the acceptance. It must change nothing.
    private suspend fun submit(submission: SentSubmission): CallResult {
        val body = OperatorRecords.submission(submission.items.map { it.id to it.path })
        return call(submission.id, "POST", "${SoakOrganisations.BATCH_PREFIX}${submission.id}", body, pickNode())
    }

    private suspend fun end(submission: SentSubmission) {
        submission.isEndRequested = true
        val result = call(submission.id, "DELETE", CallerUris.end(submission.id), "", pickNode())
        if (result.status == OK && result.isComplete) submission.endedMillis = result.endMillis
    }

    private suspend fun readSome(submission: SentSubmission) {
        val known = submission.results.size
        val from = if (known > 0 && random.nextInt(REREAD_SHARE) == 0) random.nextInt(known) else known
        val node = pickNode()
        val read = readPage(submission, node, from, waitMillis = random.nextLong(0, MAXIMUM_WAIT_MILLIS))
        checkRead(submission, node, from, read)
    }

    private suspend fun readPage(submission: SentSubmission, node: SoakNode, from: Int, waitMillis: Long): Read {
        val uri = CallerUris.results(submission.id, from)
        val result = call("r${sent++}-${submission.id}", "GET", uri, "", node, waitMillis)
        if (result.status != OK || !result.isComplete) return Read(result, null)
        return try {
            Read(result, json.decodeFromString(ResultPage.serializer(), result.body))
        } catch (exception: SerializationException) {
            fleet.ledger.report(Promise.ACCEPTED_SUBMISSION, "results can't be decoded: ${exception.message}")
            Read(result, null)
        }
    }

    private fun checkRead(submission: SentSubmission, node: SoakNode, from: Int, read: Read) {
        val result = read.result
        val isInTouch = fleet.disturbances.isInTouch(node.name, result.sentMillis, result.endMillis)
        val settledMillis = result.sentMillis - SETTLE_MILLIS
        if (isInTouch && result.status == NOT_FOUND && submission.acceptedMillis!! < settledMillis) {
            report(submission, "404 at ${node.name} at ${result.endMillis}")
        }
        val page = read.page ?: return
        if (page.total != submission.items.size) report(submission, "total ${page.total}")
        if (isInTouch &&
            page.results.isEmpty() &&
            submission.results.getOrNull(from)?.let { it.readMillis < settledMillis } == true
        ) {
            report(submission, "nothing at position $from at ${node.name}, though ${submission.results.size} were read")
        }
        page.results.forEachIndexed { index, entry -> onEntry(submission, node, from + index, entry, result.endMillis) }
    }

    private fun onEntry(submission: SentSubmission, node: SoakNode, position: Int, entry: ResultPage.Entry, now: Long) {
        val known = submission.results.getOrNull(position)
        when {
            known == null && position == submission.results.size ->
                submission.results += ReadResult(entry.id, entry.state, entry.output, now)

            known != null && (known.item != entry.id || known.output != entry.output) ->
                report(submission, "position $position holds ${entry.id} at ${node.name} instead of ${known.item}")
        }
    }

    private fun report(submission: SentSubmission, detail: String) =
        fleet.ledger.report(Promise.ACCEPTED_SUBMISSION, "submission ${submission.id}: $detail")

    private suspend fun call(
        id: String,
        method: String,
        uri: String,
        body: String,
        node: SoakNode,
        waitMillis: Long? = null,
    ): CallResult {
        val call = Call(
            id = id,
            method = method,
            uri = uri,
            host = SoakOrganisations.HOST,
            key = SoakOrganisations.LASTING_KEY,
            body = body,
            waitMillis = waitMillis,
        )
        return client.send(call, node.settings.host, node.settings.callersPort)
    }

    private fun pickNode(): SoakNode =
        fleet.nodes.filter { it.isReady }.randomOrNull(random) ?: fleet.nodes.random(random)

    private class Read(val result: CallResult, val page: ResultPage?)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val OK = 200
        const val ACCEPTED = 202
        const val NOT_FOUND = 404
        const val MAXIMUM_ITEMS = 12
        const val MAXIMUM_PAUSE_MILLIS = 1_500L
        const val SUBMIT_ATTEMPTS = 3
        const val RETRY_MILLIS = 300L
        const val READ_PAUSE_MILLIS = 700L
        const val ENDED_SHARE = 6
        const val READS_BEFORE_END = 4
        const val REREAD_SHARE = 4
        const val REPEATED_SHARE = 8
        const val MAXIMUM_WAIT_MILLIS = 1_000L

        // A result that one node has listed must be listed by all others after this time.
        const val SETTLE_MILLIS = 1_000L
    }
}
