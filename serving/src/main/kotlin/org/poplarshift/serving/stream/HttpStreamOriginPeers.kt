package org.poplarshift.serving.stream

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer
import kotlin.random.Random

/**
 * Exchanges the origins of streams as JSON over HTTP.
 *
 * @param process an id of this process
 */
class HttpStreamOriginPeers(
    private val client: PeerClient,
    private val process: String = Random.nextLong().toULong().toString(radix = 36),
) : StreamOriginPeers {
    @Serializable
    private data class BegunStreams(val service: String, val softwareVersion: String, val streams: List<String>)

    @Serializable
    private data class Report(val begun: List<BegunStreams>)

    @Serializable
    private data class ReportResponse(val process: String)

    @Serializable
    private data class Query(val stream: String)

    @Serializable
    private data class QueryResponse(val service: String? = null, val softwareVersion: String? = null)

    /** Serves other nodes: stores their reports with [store] and answers their queries with [find]. */
    fun serve(server: PeerServer, store: (Map<String, StreamOrigin>) -> Unit, find: (String) -> StreamOrigin?) {
        server.on(REPORT_PATH) { body ->
            PeerMessages.decode(Report.serializer(), body, COMPONENT)?.let { report ->
                store(originsIn(report))
                Json.encodeToString(ReportResponse.serializer(), ReportResponse(process))
            }
        }
        server.on(QUERY_PATH) { body ->
            PeerMessages.decode(Query.serializer(), body, COMPONENT)?.let { query ->
                val origin = find(query.stream)
                val response = QueryResponse(origin?.service, origin?.softwareVersion)
                Json.encodeToString(QueryResponse.serializer(), response)
            }
        }
    }

    override suspend fun report(replica: FleetMember, origins: Map<String, StreamOrigin>): String? {
        val begun = origins.keys.groupBy(origins::getValue)
            .map { (origin, streams) -> BegunStreams(origin.service, origin.softwareVersion, streams) }
        val body = Json.encodeToString(Report.serializer(), Report(begun))
        return post(replica, REPORT_PATH, body)
            ?.let { PeerMessages.decode(ReportResponse.serializer(), it, COMPONENT) }
            ?.process
    }

    override suspend fun find(replica: FleetMember, stream: String): StreamOrigin? {
        val response = post(replica, QUERY_PATH, Json.encodeToString(Query.serializer(), Query(stream)))
            ?.let { PeerMessages.decode(QueryResponse.serializer(), it, COMPONENT) }
        return StreamOrigin(response?.service ?: return null, response.softwareVersion ?: return null)
    }

    // A node of an earlier release responds with an empty text.
    private suspend fun post(replica: FleetMember, path: String, body: String): String? =
        client.post(replica, path, body, TIMEOUT_MILLIS)?.ifEmpty { null }

    private fun originsIn(report: Report): Map<String, StreamOrigin> = report.begun
        .flatMap { group -> group.streams.map { it to StreamOrigin(group.service, group.softwareVersion) } }
        .toMap()

    private companion object {
        const val COMPONENT = "streams"
        const val REPORT_PATH = "/stream-origins"
        const val QUERY_PATH = "/stream-origins/query"

        // Many times the network delay between zones. A caller waits for the response to a query.
        const val TIMEOUT_MILLIS = 250L
    }
}
