package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.submission.AssembledRecord
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.RecordAssembler
import org.poplarshift.core.submission.RecordFormat
import org.poplarshift.core.submission.SubmissionLedger
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.TopicFollower

/** The outcome of writing a record. */
sealed interface WriteResult {
    /** The record was read back and did [effect]. */
    data class Applied(val effect: LedgerEffect) : WriteResult

    /** The record is not in the log and never will be. */
    data class Refused(val reason: String) : WriteResult

    /** The record may be in the log or appear later. */
    data class Unknown(val reason: String) : WriteResult
}

/** The submissions of one partition as this node has read them. */
class SubmissionPartition(
    private val log: PartitionedLog,
    private val clock: MonotonicClock,
    private val topic: String,
    val number: Int,
    private val scope: CoroutineScope,
    private val newId: () -> String,
) : RecordReceiver {
    private val waiting = HashMap<String, CompletableDeferred<LedgerEffect>>()
    private var assembler = RecordAssembler()
    private var changed = CompletableDeferred<Unit>()
    private var submissionsByKey = HashMap<String, String>()

    /** The reduced records. */
    var ledger = SubmissionLedger()
        private set

    /** Reads the partition. */
    val follower = TopicFollower(log, clock, topic, number, this, READ_WAIT_MILLIS, READ_PAUSE_MILLIS)

    override fun onRestart() {
        ledger = SubmissionLedger()
        assembler = RecordAssembler()
        submissionsByKey = HashMap()
    }

    override fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) {
            submissionsByKey.remove(record.key)?.let { ledger.remove(listOf(it)) }
            return
        }
        val whole = try {
            assembler.add(record.key, record.value) ?: return
        } catch (exception: IllegalArgumentException) {
            logger.error(exception) {
                "submission: record ${record.key} at $number/${record.offset} can't be read; left out"
            }
            return
        }
        apply(whole)
    }

    override fun onCaughtUp() {
        val previous = changed
        changed = CompletableDeferred()
        previous.complete(Unit)
    }

    /** Waits up to [millis] until more records were read. */
    suspend fun awaitChange(millis: Long) {
        withTimeoutOrNull(millis) { changed.await() }
    }

    /** Whether what is known was current within the last [maximumAgeMillis]. */
    fun isCurrent(maximumAgeMillis: Long): Boolean = follower.isStarted &&
        !follower.isDisturbed &&
        clock.millis() - follower.answeredMillis <= maximumAgeMillis

    /** Asks the log whether everything was read, and reads what is missing. */
    suspend fun confirm(): Boolean {
        if (!follower.isStarted) return false
        val result = log.read(topic, number, follower.position, waitMillis = 0)
        if (result !is ReadResult.Records) return false
        val end = clock.millis() + CONFIRM_MILLIS
        while (follower.position < result.end) {
            val left = end - clock.millis()
            if (left <= 0) return false
            follower.hurry()
            awaitChange(left)
        }
        return true
    }

    /** Writes [record] and waits until it was read back; [onAppended] is called between the two. */
    suspend fun write(record: SubmissionRecord, content: ByteArray, onAppended: () -> Unit = {}): WriteResult {
        val id = newId()
        val effect = CompletableDeferred<LedgerEffect>()
        waiting[id] = effect
        try {
            val values = RecordFormat.encode(id, record, content, log.maximumValueBytes)
            var unknown: String? = null
            for (call in calls(values)) {
                when (val result = log.append(topic, number, call)) {
                    is AppendResult.Appended -> Unit
                    is AppendResult.Refused -> return WriteResult.Refused(result.reason)
                    is AppendResult.Unknown -> unknown = result.reason
                }
            }
            onAppended()
            val applied = awaitEffect(effect, isAppended = unknown == null)
            return applied?.let { WriteResult.Applied(it) } ?: WriteResult.Unknown(unknown ?: "not read back")
        } finally {
            waiting.remove(id)
        }
    }

    private suspend fun awaitEffect(effect: CompletableDeferred<LedgerEffect>, isAppended: Boolean): LedgerEffect? {
        follower.hurry()
        withTimeoutOrNull(USUAL_READ_BACK_MILLIS) { effect.await() }?.let { return it }
        if (isAppended) follower.readAgain()
        return withTimeoutOrNull(READ_BACK_MILLIS) { effect.await() }
    }

    /** Writes [record] without waiting for the outcome; it may get lost. */
    fun post(record: SubmissionRecord, content: ByteArray) {
        val values = RecordFormat.encode(newId(), record, content, log.maximumValueBytes)
        scope.launch {
            for (call in calls(values)) {
                val result = log.append(topic, number, call)
                if (result !is AppendResult.Appended) {
                    logger.info { "submission: a record of ${record.submission} is not kept: $result" }
                    return@launch
                }
            }
        }
    }

    /** Removes the records of the submissions [ids] from the log. */
    suspend fun remove(ids: List<String>): AppendResult {
        val keys = ledger.remove(ids)
        return log.append(topic, number, keys.map { KeyedValue(it, ByteArray(0)) })
    }

    private fun apply(whole: AssembledRecord) {
        val record = whole.decoded.record
        val effect = ledger.apply(record, whole.decoded.content, whole.keys)
        if (effect is LedgerEffect.Accepted) submissionsByKey[whole.keys.first()] = record.submission
        waiting.remove(whole.id)?.complete(effect)
    }

    private fun calls(values: List<KeyedValue>): List<List<KeyedValue>> {
        val calls = ArrayList<List<KeyedValue>>()
        var call = ArrayList<KeyedValue>()
        var bytes = 0
        for (value in values) {
            if (call.isNotEmpty() && bytes + value.value.size > log.maximumAppendBytes) {
                calls += call
                call = ArrayList()
                bytes = 0
            }
            call += value
            bytes += value.value.size
        }
        calls += call
        return calls
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Bounds how long a read on a connection that went silent goes unnoticed.
        const val READ_WAIT_MILLIS = 1_500L

        // Reads several records at once; well within the time in which other nodes must know of a change.
        const val READ_PAUSE_MILLIS = 400L
        const val CONFIRM_MILLIS = 800L

        // Over ten times the usual time until a record is read back. Seen on calm days: a read that waited for a record
        // came back only at the end of its waiting time, a second after the record was there.
        const val USUAL_READ_BACK_MILLIS = 200L

        // A lost answer is settled by reading the record back; callers wait for an answer about this long.
        const val READ_BACK_MILLIS = 2_000L
    }
}
