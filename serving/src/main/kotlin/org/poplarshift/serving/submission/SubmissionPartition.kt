package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.submission.AssembledRecord
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.PartKey
import org.poplarshift.core.submission.RecordAssembler
import org.poplarshift.core.submission.RecordContent
import org.poplarshift.core.submission.RecordFormat
import org.poplarshift.core.submission.SubmissionLedger
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PageGate
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.TopicFollower

/** The outcome of writing a submission record to the log. */
sealed interface WriteResult {
    /** The record was read back from the log and had the given [effect] on the ledger. */
    data class Applied(val effect: LedgerEffect) : WriteResult

    /** The record was rejected and will not appear in the log. */
    data class Refused(val reason: String) : WriteResult

    /** The record may already be in the log or may appear later. */
    data class Unknown(val reason: String) : WriteResult
}

/** The submissions of one partition, as read by this node, and writes to that partition. */
class SubmissionPartition(
    private val log: PartitionedLog,
    private val clock: MonotonicClock,
    private val topic: String,
    contentTopic: String,
    val number: Int,
    private val tasks: BackgroundTasks,
    cache: ContentCache,
    pages: PageGate = PageGate(clock),
    private val newId: () -> String,
) : RecordReceiver {
    private val contents = PartitionContents(log, topic, contentTopic, number, cache)
    private val pendingWrites = HashMap<String, CompletableDeferred<LedgerEffect>>()
    private var assembler = RecordAssembler()
    private var changed = CompletableDeferred<Unit>()
    private var firstReadMillis = HashMap<String, Long>()
    private var firstReadMillisBeforeRestart = HashMap<String, Long>()
    private var caughtUpMillis = Long.MIN_VALUE / 2

    /** The state that results from applying all records read so far. */
    var ledger = SubmissionLedger()
        private set

    /** Increases whenever records have been read. */
    var revision = 0L
        private set

    /** Reads the partition and passes its records to this object. */
    val follower = TopicFollower(log, clock, topic, number, this, READ_WAIT_MILLIS, READ_PAUSE_MILLIS, pages)

    override fun onRestart() {
        revision++
        ledger = SubmissionLedger()
        assembler = RecordAssembler()
        firstReadMillisBeforeRestart = firstReadMillis
        firstReadMillis = HashMap()
    }

    override fun shorten(record: LogRecord): LogRecord {
        if (!isReference(record)) contents.keep(record)
        val head = assembler.shorten(record.key, record.value)
        return LogRecord(record.offset, record.key, head, record.valueBytes)
    }

    override fun onRecord(record: LogRecord) {
        revision++
        if (record.isDeletion) {
            ledger.onKeyDeleted(record.key)?.let { firstReadMillis.remove(it.proposal.submission) }
            return
        }
        if (!record.isShortened && !isReference(record)) contents.keep(record)
        val assembled = try {
            assembler.add(record.offset, record.key, record.value, record.valueBytes) ?: return
        } catch (exception: IllegalArgumentException) {
            logger.error(exception) {
                "submission: record ${record.key} at $number/${record.offset} can't be decoded; skipped"
            }
            return
        }
        apply(assembled)
    }

    private fun isReference(record: LogRecord): Boolean = PartKey.parse(record.key)?.isReference == true

    override fun onCaughtUp() {
        val previous = changed
        changed = CompletableDeferred()
        previous.complete(Unit)
    }

    /**
     * Returns an age in milliseconds that the submission of [proposal] has reached for certain.
     *
     * The time of day may jump and may differ between nodes. The submission is therefore never older than the time since
     * this node has read it, which is less than its age after a restart of the node.
     *
     * @param wallClockMillis the time of day in Unix milliseconds
     */
    fun certainAgeMillis(proposal: SubmissionRecord.Proposed, wallClockMillis: Long): Long {
        val now = clock.millis()
        val sinceReadMillis = now - (firstReadMillis[proposal.submission] ?: now)
        return minOf(sinceReadMillis, wallClockMillis - proposal.firstSentMillis)
    }

    /** Returns the bytes of [content], or null if the log can't be read at present. */
    suspend fun read(content: RecordContent): ByteArray? = contents.read(content)

    /** Waits until more records have been read, for at most [millis]. */
    suspend fun awaitChange(millis: Long) {
        withTimeoutOrNull(millis) { changed.await() }
    }

    /** Whether the ledger was up to date with the log at some time within the last [maximumAgeMillis]. */
    fun isCurrent(maximumAgeMillis: Long): Boolean = follower.isStarted &&
        clock.millis() - maxOf(follower.upToDateMillis, caughtUpMillis) <= maximumAgeMillis

    /**
     * Reads all records that are in the log at the time of the call.
     *
     * A read of a slow log returns records that are old already. The log is therefore read again until the ledger is
     * young enough to respond from. Returns false if the first pass is not complete, the log is unavailable or the
     * reads take too long.
     */
    suspend fun catchUp(): Boolean {
        val endMillis = clock.millis() + CATCH_UP_TIMEOUT_MILLIS
        while (follower.isStarted && clock.millis() < endMillis) {
            if (!catchUpOnce(endMillis)) return false
            if (isCurrent(MAXIMUM_CAUGHT_UP_AGE_MILLIS)) return true
        }
        return false
    }

    private suspend fun catchUpOnce(endMillis: Long): Boolean {
        val sentMillis = clock.millis()
        val result = withTimeoutOrNull(endMillis - sentMillis) {
            log.read(topic, number, follower.position, waitMillis = 0)
        }
        if (result !is ReadResult.Records) return false
        if (!awaitPosition(result.end, minOf(endMillis, clock.millis() + FIRST_CATCH_UP_TIMEOUT_MILLIS))) {
            follower.restartRead()
            if (!awaitPosition(result.end, endMillis)) return false
        }
        caughtUpMillis = maxOf(caughtUpMillis, sentMillis)
        return true
    }

    private suspend fun awaitPosition(end: Long, endMillis: Long): Boolean {
        while (follower.position < end) {
            val remainingMillis = endMillis - clock.millis()
            if (remainingMillis <= 0) return false
            follower.skipPause()
            awaitChange(remainingMillis)
        }
        return true
    }

    /** Writes [record] and waits until it has been read back. Calls [onAppended] once the appends have returned. */
    suspend fun write(record: SubmissionRecord, content: ByteArray, onAppended: () -> Unit = {}): WriteResult {
        val id = newId()
        val endMillis = clock.millis() + WRITE_TIMEOUT_MILLIS
        val effect = CompletableDeferred<LedgerEffect>()
        pendingWrites[id] = effect
        try {
            val encoded = when (val result = encode(id, record, content)) {
                is EncodeResult.Encoded -> result
                is EncodeResult.Failed -> return WriteResult.Refused(result.reason)
            }
            var unknownReason: String? = null
            for (records in splitIntoAppends(encoded.values)) {
                when (val result = log.append(topic, number, records)) {
                    is AppendResult.Appended -> Unit

                    is AppendResult.Refused -> {
                        removeUnused(encoded.contentKeys)
                        return WriteResult.Refused(result.reason)
                    }

                    is AppendResult.Unknown -> unknownReason = result.reason
                }
            }
            onAppended()
            val applied = awaitEffect(effect, isAppended = unknownReason == null, endMillis)
            return applied?.let { WriteResult.Applied(it) } ?: WriteResult.Unknown(unknownReason ?: "not read back")
        } finally {
            pendingWrites.remove(id)
        }
    }

    private suspend fun awaitEffect(
        effect: CompletableDeferred<LedgerEffect>,
        isAppended: Boolean,
        endMillis: Long,
    ): LedgerEffect? {
        follower.skipPause()
        withTimeoutOrNull(FIRST_READ_BACK_TIMEOUT_MILLIS) { effect.await() }?.let { return it }
        if (isAppended) follower.restartRead()
        val remainingMillis = minOf(READ_BACK_TIMEOUT_MILLIS, endMillis - clock.millis())
        return withTimeoutOrNull(remainingMillis) { effect.await() }
    }

    /** Writes [record] without waiting for the outcome. The record may be lost. */
    fun writeInBackground(record: SubmissionRecord, content: ByteArray) {
        tasks.launchOnce("background write") {
            val failure = append(newId(), record, content) ?: return@launchOnce
            logger.info { "submission: a record of submission ${record.submission} was not appended: $failure" }
        }
    }

    /** Appends [record] and returns the reason why it may not be in the log, or null. */
    private suspend fun append(id: String, record: SubmissionRecord, content: ByteArray): String? {
        val values = when (val result = encode(id, record, content)) {
            is EncodeResult.Encoded -> result.values
            is EncodeResult.Failed -> return result.reason
        }
        for (records in splitIntoAppends(values)) {
            val result = log.append(topic, number, records)
            if (result !is AppendResult.Appended) return "$result"
        }
        return null
    }

    /** Writes a large [content] to its own topic, and returns the values that hold [record]. */
    private suspend fun encode(id: String, record: SubmissionRecord, content: ByteArray): EncodeResult {
        val maximumBytes = log.maximumValueBytes
        if (content.size <= MAXIMUM_FOLLOWED_BYTES) {
            return EncodeResult.Encoded(RecordFormat.encode(id, record, content, maximumBytes))
        }
        val parts = RecordFormat.splitContent(id, content, boundaries(record), maximumBytes)
        val result = withTimeoutOrNull(CONTENT_APPEND_MILLIS) { contents.write(splitIntoAppends(parts)) }
        if (result !is PartitionContents.Written.Stored) removeUnused(parts.map { it.key })
        return when (result) {
            is PartitionContents.Written.Stored ->
                EncodeResult.Encoded(
                    RecordFormat.encodeReference(id, record, result.places, maximumBytes),
                    result.places.map { it.key },
                )

            is PartitionContents.Written.Refused -> EncodeResult.Failed(result.reason)

            // The record is read back, so that it can hold the content without a known offset.
            PartitionContents.Written.Unknown, null ->
                EncodeResult.Encoded(RecordFormat.encode(id, record, content, maximumBytes))
        }
    }

    private fun removeUnused(contentKeys: List<String>) {
        tasks.launchOnce("removal of an unused content") { contents.remove(contentKeys) }
    }

    // Items run at different nodes, each of which needs the body of its item only. Small bodies share a part.
    private fun boundaries(record: SubmissionRecord): List<Int> {
        val boundaries = arrayListOf(0)
        var end = 0
        for (item in (record as? SubmissionRecord.Proposed)?.items.orEmpty()) {
            end += item.bodyBytes
            if (end - boundaries.last() >= MINIMUM_PART_BYTES) boundaries += end
        }
        return boundaries
    }

    /**
     * Removes the records of the submissions [ids] from the log. The ledger follows when the deletions are read.
     *
     * The contents are removed first, because only the records name them. Records that are read meanwhile stay for the next
     * removal.
     */
    suspend fun remove(ids: List<String>): AppendResult {
        val keys = ledger.keysToRemove(ids)
        if (!contents.remove(ledger.contentKeysToRemove(ids))) return AppendResult.Refused("contents not removed")
        return log.append(topic, number, keys.map { KeyedValue(it, ByteArray(0)) })
    }

    private sealed interface EncodeResult {
        data class Encoded(val values: List<KeyedValue>, val contentKeys: List<String> = emptyList()) : EncodeResult

        data class Failed(val reason: String) : EncodeResult
    }

    private fun apply(assembled: AssembledRecord) {
        val record = assembled.record
        val effect = ledger.apply(record, assembled.content, assembled.keys)
        if (effect is LedgerEffect.Accepted) {
            val id = record.submission
            firstReadMillis[id] = firstReadMillisBeforeRestart.remove(id) ?: clock.millis()
        }
        pendingWrites.remove(assembled.id)?.complete(effect)
    }

    private fun splitIntoAppends(values: List<KeyedValue>): List<List<KeyedValue>> {
        val appends = ArrayList<List<KeyedValue>>()
        var current = ArrayList<KeyedValue>()
        var bytes = 0
        for (value in values) {
            if (current.isNotEmpty() && bytes + value.value.size > log.maximumAppendBytes) {
                appends += current
                current = ArrayList()
                bytes = 0
            }
            current += value
            bytes += value.value.size
        }
        appends += current
        return appends
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Contents up to this size cost all nodes less than the second append of a content of its own.
        const val MAXIMUM_FOLLOWED_BYTES = 256

        // Less than the rest of an append costs the log.
        const val MINIMUM_PART_BYTES = 512

        // A hundred times the usual duration of an append. Leaves time for the append of the record.
        const val CONTENT_APPEND_MILLIS = 800L

        // Callers wait for about this long.
        const val WRITE_TIMEOUT_MILLIS = 4_000L

        // Bounds the time until a read on a stalled connection is detected.
        const val READ_WAIT_MILLIS = 1_500L

        // Batches several records per read. Stays well below the time within which nodes must learn of a change.
        const val READ_PAUSE_MILLIS = 400L

        // Callers time out after 1.5 s. The rest is left for the response.
        const val CATCH_UP_TIMEOUT_MILLIS = 1_300L

        // A result that one node has listed must be listed at all nodes a second later. The rest is left for the
        // response.
        const val MAXIMUM_CAUGHT_UP_AGE_MILLIS = 700L

        // Several times the usual duration of a read. A waiting read that has not returned the records by then has
        // missed them.
        const val FIRST_CATCH_UP_TIMEOUT_MILLIS = 100L

        // More than ten times the usual time until a record is read back. Observed without any outage: a long-polling
        // read returned only at the end of its wait time, a second after the record was appended.
        const val FIRST_READ_BACK_TIMEOUT_MILLIS = 200L

        // If the response to an append is lost, reading the record back determines the outcome. Callers wait about this
        // long for a response.
        const val READ_BACK_TIMEOUT_MILLIS = 2_000L
    }
}
