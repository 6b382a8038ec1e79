package org.poplarshift.ports

import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.poplarshift.wire.WireJson
import java.net.URLEncoder

/**
 * The platform's log over HTTP.
 *
 * An append is [AppendResult.Refused] only when the record is certainly not in the log: the connection was refused or
 * the service responded with 503 or a 4xx status. A lost connection, a timeout or any other status is
 * [AppendResult.Unknown].
 *
 * @param address IP address and port of the platform
 * @param deadlineMillis timeout of an append; a read adds its wait time
 */
class HttpLogService(client: WebClient, address: String, private val deadlineMillis: Long = 3_000) : LogService {
    private val endpoint = PlatformEndpoint(client, address)

    override suspend fun append(stream: String, record: String): AppendResult {
        val result = endpoint.send(HttpMethod.POST, recordsUri(stream), record, deadlineMillis)
        return when (result) {
            is PlatformResult.NotSent -> AppendResult.Refused(result.reason)
            is PlatformResult.NoResponse -> AppendResult.Unknown(result.reason)
            is PlatformResult.Response -> appendResult(result)
        }
    }

    override suspend fun read(stream: String, fromOffset: Long, maximumRecords: Int, waitMillis: Long): ReadResult {
        val uri = "${recordsUri(stream)}?from=$fromOffset&limit=$maximumRecords&waitMillis=$waitMillis"
        return when (val result = endpoint.send(HttpMethod.GET, uri, null, deadlineMillis + waitMillis)) {
            is PlatformResult.NotSent -> ReadResult.Unavailable(result.reason)
            is PlatformResult.NoResponse -> ReadResult.Unavailable(result.reason)
            is PlatformResult.Response -> readResult(result)
        }
    }

    private fun appendResult(response: PlatformResult.Response): AppendResult {
        val reason = "log service responded with HTTP ${response.status}"
        return when (response.status) {
            HTTP_OK -> decodeOffset(response.body)
            in CLIENT_ERRORS, HTTP_UNAVAILABLE -> AppendResult.Refused(reason)
            else -> AppendResult.Unknown(reason)
        }
    }

    private fun decodeOffset(body: String): AppendResult = try {
        AppendResult.Appended(WireJson.lenient.decodeFromString<AppendBody>(body).offset)
    } catch (exception: SerializationException) {
        AppendResult.Unknown("append response is not valid: ${exception.message}")
    }

    private fun readResult(response: PlatformResult.Response): ReadResult {
        if (response.status != HTTP_OK) {
            return ReadResult.Unavailable("log service responded with HTTP ${response.status}")
        }
        return try {
            val body = WireJson.lenient.decodeFromString<ReadBody>(response.body)
            ReadResult.Records(body.records, body.nextOffset, body.retentionStart)
        } catch (exception: SerializationException) {
            ReadResult.Unavailable("read response is not valid: ${exception.message}")
        }
    }

    private fun recordsUri(stream: String) = "/log/${URLEncoder.encode(stream, Charsets.UTF_8)}/records"

    @Serializable
    private data class AppendBody(val offset: Long)

    @Serializable
    private data class ReadBody(val records: List<LogRecord>, val nextOffset: Long, val retentionStart: Long)

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        val CLIENT_ERRORS = 400..499
    }
}
