package org.poplarshift.serving.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.LogRelay
import org.poplarshift.serving.log.NewestResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import java.util.Base64

/**
 * Calls the log through another node.
 *
 * @param reaching the nodes that reach the log
 */
class PeerLogRelay(private val client: PeerClient, private val reaching: () -> List<FleetMember>) : LogRelay {
    @Serializable
    private data class RelayedRecord(val offset: Long, val key: String, val value: String)

    @Serializable
    private sealed interface Question {
        @Serializable
        @SerialName("append")
        data class Append(val topic: String, val partition: Int, val records: List<RelayedRecord>) : Question

        @Serializable
        @SerialName("read")
        data class Read(val topic: String, val partition: Int, val from: Long, val waitMillis: Long) : Question

        @Serializable
        @SerialName("newest")
        data class Newest(val topic: String, val partition: Int, val afterKey: String?) : Question
    }

    @Serializable
    private sealed interface Answer {
        @Serializable
        @SerialName("appended")
        data class Appended(val offset: Long) : Answer

        @Serializable
        @SerialName("unknown")
        data class Unknown(val reason: String) : Answer

        @Serializable
        @SerialName("records")
        data class Records(val records: List<RelayedRecord>, val next: Long, val end: Long) : Answer

        @Serializable
        @SerialName("trimmed")
        data class Trimmed(val first: Long) : Answer

        @Serializable
        @SerialName("page")
        data class Page(val records: List<RelayedRecord>, val end: Long, val hasMore: Boolean) : Answer

        @Serializable
        @SerialName("refused")
        data class Refused(val reason: String) : Answer
    }

    /** Answers other nodes with calls of [log], which must be the log itself. */
    fun serve(server: PeerServer, log: PartitionedLog) {
        server.on(PATH) { body ->
            PeerMessages.decode(Question.serializer(), body, PART)?.let {
                Json.encodeToString(Answer.serializer(), answer(it, log))
            }
        }
    }

    override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult? {
        val question = Question.Append(topic, partition, records.map { relayed(0, it.key, it.value) })
        val peer = reaching().randomOrNull() ?: return null
        return when (val answer = ask(peer, question, APPEND_MILLIS)) {
            is Answer.Appended -> AppendResult.Appended(answer.offset)
            is Answer.Refused -> AppendResult.Refused("through ${peer.name}: ${answer.reason}")
            is Answer.Unknown -> AppendResult.Unknown("through ${peer.name}: ${answer.reason}")
            else -> AppendResult.Unknown("${peer.name} does not answer")
        }
    }

    override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult? {
        val peer = reaching().randomOrNull() ?: return null
        val question = Question.Read(topic, partition, from, waitMillis)
        return when (val answer = ask(peer, question, waitMillis + READ_MILLIS)) {
            is Answer.Records -> ReadResult.Records(answer.records.map { it.record() }, answer.next, answer.end)
            is Answer.Trimmed -> ReadResult.Trimmed(answer.first)
            else -> null
        }
    }

    override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult? {
        val peer = reaching().randomOrNull() ?: return null
        val answer = ask(peer, Question.Newest(topic, partition, afterKey), READ_MILLIS) as? Answer.Page ?: return null
        return NewestResult.Page(answer.records.map { it.record() }, answer.end, answer.hasMore)
    }

    private suspend fun ask(peer: FleetMember, question: Question, timeoutMillis: Long): Answer? {
        val body = Json.encodeToString(Question.serializer(), question)
        val answer = client.post(peer, PATH, body, timeoutMillis) ?: return null
        return PeerMessages.decode(Answer.serializer(), answer, PART)
    }

    private suspend fun answer(question: Question, log: PartitionedLog): Answer = when (question) {
        is Question.Append -> {
            val records = question.records.map { KeyedValue(it.key, it.bytes()) }
            when (val result = log.append(question.topic, question.partition, records)) {
                is AppendResult.Appended -> Answer.Appended(result.offset)
                is AppendResult.Refused -> Answer.Refused(result.reason)
                is AppendResult.Unknown -> Answer.Unknown(result.reason)
            }
        }

        is Question.Read ->
            when (val result = log.read(question.topic, question.partition, question.from, question.waitMillis)) {
                is ReadResult.Records -> Answer.Records(result.records.map { relayed(it) }, result.next, result.end)
                is ReadResult.Trimmed -> Answer.Trimmed(result.first)
                is ReadResult.Unavailable -> Answer.Refused(result.reason)
            }

        is Question.Newest ->
            when (val result = log.newest(question.topic, question.partition, question.afterKey)) {
                is NewestResult.Page -> Answer.Page(result.records.map { relayed(it) }, result.end, result.hasMore)
                is NewestResult.Unavailable -> Answer.Refused(result.reason)
            }
    }

    private fun relayed(record: LogRecord) = relayed(record.offset, record.key, record.value)

    private fun relayed(offset: Long, key: String, value: ByteArray) =
        RelayedRecord(offset, key, Base64.getEncoder().encodeToString(value))

    private fun RelayedRecord.bytes(): ByteArray = Base64.getDecoder().decode(value)

    private fun RelayedRecord.record() = LogRecord(offset, key, bytes())

    private companion object {
        const val PART = "log"
        const val PATH = "/log"

        // Many times the usual answer of the log with the trips between nodes.
        const val APPEND_MILLIS = 1_000L
        const val READ_MILLIS = 600L
    }
}
