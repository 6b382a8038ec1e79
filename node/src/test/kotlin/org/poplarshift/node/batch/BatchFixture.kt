package org.poplarshift.node.batch

import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Route
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RunningNode
import org.poplarshift.ports.LogService
import org.poplarshift.wire.WireJson

/** A fleet with one model worker and one service worker, with helpers for the batch API. */
class BatchFixture(log: LogService) : AutoCloseable {
    val fleet = Fleet(log)
    lateinit var engine: FakeWorker
    lateinit var service: FakeWorker
    lateinit var key: String

    /** Starts the workers and a node, publishes the configuration and creates a key. */
    suspend fun start(): RunningNode {
        engine = fleet.worker()
        service = fleet.worker()
        val node = fleet.node()
        fleet.publish(catalogue())
        key = fleet.issueKey("office")
        node.awaitVersion(1)
        return node
    }

    /** Starts a second node and waits for its configuration. */
    suspend fun startAnother(): RunningNode = fleet.node("node-2").also { it.awaitVersion(1) }

    private fun catalogue(): Catalogue = Fleet.catalogue(listOf(engine), listOf(service)).copy(
        routes = listOf(
            Route(
                id = "labels",
                owner = "shops",
                method = "POST",
                pathPrefix = "/labels",
                upstream = "app",
                idempotent = false,
            ),
        ),
    )

    fun modelItems(items: Int, text: String = "a quilt") = (0 until items).joinToString("\n") {
        """{"id":"item$it","body":{"model":"writer","prompt":"$text"}}"""
    }

    fun labelItems(items: Int) = (0 until items).joinToString("\n") {
        """{"id":"item$it","path":"/labels/$it","body":{"text":"fragile"}}"""
    }

    fun upload(node: RunningNode, jobId: String, body: String) = node.call("POST", "/v1/batches/$jobId", key, body)

    fun status(node: RunningNode, jobId: String): JobStatus =
        WireJson.strict.decodeFromString(node.call("GET", "/v1/batches/$jobId", key).body())

    suspend fun await(node: RunningNode, jobId: String, condition: (JobStatus) -> Boolean): JobStatus =
        withTimeout(DEADLINE_MILLIS) {
            var status = status(node, jobId)
            while (!condition(status)) {
                delay(20)
                status = status(node, jobId)
            }
            status
        }

    /** Returns the identifiers of the results in the order of the response. */
    fun results(node: RunningNode, jobId: String, query: String = ""): List<String> =
        node.call("GET", "/v1/batches/$jobId/results?$query", key).body().lines().filter { it.isNotEmpty() }.map {
            WireJson.strict.parseToJsonElement(it).jsonObject.getValue("id").jsonPrimitive.content
        }

    override fun close() = fleet.close()

    companion object {
        const val DEADLINE_MILLIS = 20_000L

        /** Never responds, so that the item runs until it is cancelled or times out. */
        fun neverRespond(request: HttpServerRequest) {
            request.response().exceptionHandler { }
        }
    }
}
