package org.poplarshift.serving.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
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
 * The node that served the last call is asked first, and then a randomly chosen one.
 *
 * @param peers returns the nodes that may relay calls for a topic
 */
class PeerLogRelay(
    private val client: PeerClient,
    clock: MonotonicClock,
    private val peers: (topic: String) -> List<FleetMember>,
) : LogRelay {
    private val route = RelayRoute(clock, maximumProven = 1)

    @Serializable
    private data class RelayedRecord(val offset: Long, val key: String, val value: String)

    @Serializable
    private sealed interface Request {
        val topic: String

        @Serializable
        @SerialName("append")
        data class Append(override val topic: String, val partition: Int, val records: List<RelayedRecord>) : Request

        /** @property valueBytes the size of the value of the only record that is needed, or null for a page */
        @Serializable
        @SerialName("read")
        data class Read(
            override val topic: String,
            val partition: Int,
            val from: Long,
            val waitMillis: Long,
            val valueBytes: Int? = null,
        ) : Request

        @Serializable
        @SerialName("newest")
        data class Newest(override val topic: String, val partition: Int, val afterKey: String?) : Request
    }

    @Serializable
    private sealed interface Response {
        @Serializable
        @SerialName("appended")
        data class Appended(val offset: Long) : Response

        @Serializable
        @SerialName("unknown")
        data class Unknown(val reason: String) : Response

        @Serializable
        @SerialName("records")
        data class Records(val records: List<RelayedRecord>, val next: Long, val end: Long) : Response

        @Serializable
        @SerialName("trimmed")
        data class Trimmed(val first: Long) : Response

        @Serializable
        @SerialName("page")
        data class Page(val records: List<RelayedRecord>, val end: Long, val hasMore: Boolean) : Response

        @Serializable
        @SerialName("refused")
        data class Refused(val reason: String) : Response
    }

    /** Serves relayed calls of other nodes at [server]. [log] must be the direct connection to the log, not a relay. */
    fun serve(server: PeerServer, log: PartitionedLog) {
        server.on(PATH) { body ->
            PeerMessages.decode(Request.serializer(), body, COMPONENT)?.let {
                Json.encodeToString(Response.serializer(), execute(it, log))
            }
        }
    }

    override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult? {
        val request = Request.Append(topic, partition, records.map { encode(0, it.key, it.value) })
        return when (val response = call(request, APPEND_TIMEOUT_MILLIS) ?: return null) {
            is Response.Appended -> AppendResult.Appended(response.offset)
            is Response.Refused -> AppendResult.Refused("relayed: ${response.reason}")
            is Response.Unknown -> AppendResult.Unknown("relayed: ${response.reason}")
            else -> AppendResult.Unknown("relayed: unexpected response")
        }
    }

    override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult? =
        read(Request.Read(topic, partition, from, waitMillis))

    override suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult? =
        read(Request.Read(topic, partition, offset, waitMillis = 0, valueBytes))

    private suspend fun read(request: Request.Read): ReadResult? =
        when (val response = call(request, request.waitMillis + READ_TIMEOUT_MILLIS)) {
            is Response.Records ->
                ReadResult.Records(response.records.map { it.toLogRecord() }, response.next, response.end)
            is Response.Trimmed -> ReadResult.Trimmed(response.first)
            else -> null
        }

    override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult? {
        val response =
            call(Request.Newest(topic, partition, afterKey), READ_TIMEOUT_MILLIS) as? Response.Page ?: return null
        return NewestResult.Page(response.records.map { it.toLogRecord() }, response.end, response.hasMore)
    }

    /** Sends [request] to a node, and to another one if the first can't reach the log. Returns null if there is none. */
    private suspend fun call(request: Request, timeoutMillis: Long): Response? {
        val body = Json.encodeToString(Request.serializer(), request)
        var refused: Response? = null
        for (peer in route.candidates(peers(request.topic))) {
            val response = client.post(peer, PATH, body, timeoutMillis)
                ?.let { PeerMessages.decode(Response.serializer(), it, COMPONENT) }
            if (response != null && response !is Response.Refused) return response.also { route.onServed(peer.name) }
            if (response == null) route.onFailed(peer.name) else route.onRefused(peer.name)
            refused = response
            // Without a response the records of an append may already be in the log.
            if (response == null && request is Request.Append) return Response.Unknown("no response")
        }
        return refused
    }

    private suspend fun execute(request: Request, log: PartitionedLog): Response = when (request) {
        is Request.Append -> {
            val records = request.records.map { KeyedValue(it.key, it.valueBytes()) }
            when (val result = log.append(request.topic, request.partition, records)) {
                is AppendResult.Appended -> Response.Appended(result.offset)
                is AppendResult.Refused -> Response.Refused(result.reason)
                is AppendResult.Unknown -> Response.Unknown(result.reason)
            }
        }

        is Request.Read ->
            when (val result = read(request, log)) {
                is ReadResult.Records -> Response.Records(result.records.map { encode(it) }, result.next, result.end)
                is ReadResult.Trimmed -> Response.Trimmed(result.first)
                is ReadResult.Unavailable -> Response.Refused(result.reason)
            }

        is Request.Newest ->
            when (val result = log.newest(request.topic, request.partition, request.afterKey)) {
                is NewestResult.Page -> Response.Page(result.records.map { encode(it) }, result.end, result.hasMore)
                is NewestResult.Unavailable -> Response.Refused(result.reason)
            }
    }

    private suspend fun read(request: Request.Read, log: PartitionedLog): ReadResult = request.valueBytes
        ?.let { log.readAt(request.topic, request.partition, request.from, it) }
        ?: log.read(request.topic, request.partition, request.from, request.waitMillis)

    private fun encode(record: LogRecord) = encode(record.offset, record.key, record.value)

    private fun encode(offset: Long, key: String, value: ByteArray) =
        RelayedRecord(offset, key, Base64.getEncoder().encodeToString(value))

    private fun RelayedRecord.valueBytes(): ByteArray = Base64.getDecoder().decode(value)

    private fun RelayedRecord.toLogRecord() = LogRecord(offset, key, valueBytes())

    private companion object {
        const val COMPONENT = "log"
        const val PATH = "/log"

        // Many times the usual response time of the log, including the latency between nodes.
        const val APPEND_TIMEOUT_MILLIS = 1_000L
        const val READ_TIMEOUT_MILLIS = 600L
    }
}
