package org.poplarshift.verification.batch

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.node.Node
import org.poplarshift.node.NodeFactory
import org.poplarshift.node.PlatformPorts
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.node.settings.PlatformSettings
import org.poplarshift.ports.VmList
import org.poplarshift.ports.VmListResult
import org.poplarshift.ports.WeightStore
import org.poplarshift.ports.WeightStoreResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson
import java.lang.management.ManagementFactory
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.random.Random

/** Measures the appends, log bytes, CPU time and duration of batch jobs on one node. */
class BatchCostMeasurement(private val seed: Long) {
    private val log = CountingLog()
    private val threads = ManagementFactory.getThreadMXBean()
    private val key = "psk_" + "m".repeat(43)

    /** Runs a job with [items] items and prints the measurements on one line. */
    fun measure(items: Int) = runBlocking {
        val vertx = Vertx.vertx()
        val node = startNode(startEngine(vertx))
        val body = uploadBody(items)
        val thread = withContext(node.context.scope.coroutineContext) { Thread.currentThread().id }
        val startedNanos = System.nanoTime()
        val cpuBefore = threads.getThreadCpuTime(thread)
        upload(node, body)
        val cpuUploaded = threads.getThreadCpuTime(thread)
        val uploadAppends = log.appends.getValue(LogStream.BATCH)
        while (node.batch.batchLog.index.find(JobKey("office", "job"))?.done != items) delay(10)
        val cpuDone = threads.getThreadCpuTime(thread)
        val seconds = (System.nanoTime() - startedNanos) / 1e9
        val thousands = items / 1e3
        val appends = log.appends.getValue(LogStream.BATCH)
        println(
            "items=%d seed=%d bodyBytes=%d appends=%d (upload %d) appendsPer1000=%.2f logBytesPer1000=%.0f"
                .format(items, seed, body.length, appends, uploadAppends, appends / thousands, logBytes() / thousands) +
                " uploadCpuMsPer1000=%.1f runCpuMsPer1000=%.1f followCpuMsPer1000=%.2f seconds=%.1f".format(
                    (cpuUploaded - cpuBefore) / 1e6 / thousands,
                    (cpuDone - cpuUploaded) / 1e6 / thousands,
                    replayMillis() / thousands,
                    seconds,
                ),
        )
        node.context.vertx.close().coAwait()
        vertx.close().coAwait()
    }

    private fun logBytes(): Double = log.bytes.getValue(LogStream.BATCH).toDouble()

    // The cost of a node that neither receives the upload nor runs the job: decoding all records except item bodies.
    private fun replayMillis(): Double {
        val records = log.records(LogStream.BATCH)
        val serializer = LogEnvelope.serializer(BatchRecord.serializer())
        repeat(2) { replay(records, serializer) }
        val before = threads.currentThreadCpuTime
        replay(records, serializer)
        return (threads.currentThreadCpuTime - before) / 1e6
    }

    private fun replay(records: List<String>, serializer: kotlinx.serialization.KSerializer<LogEnvelope<BatchRecord>>) {
        val index = BatchIndex()
        records.forEachIndexed { offset, line ->
            if ("\"itemsUploaded\"" in line.take(256)) {
                index.skip(offset.toLong())
            } else {
                index.apply(offset.toLong(), WireJson.lenient.decodeFromString(serializer, line).record)
            }
        }
    }

    private fun uploadBody(items: Int): String {
        val random = Random(seed)
        return (0 until items).joinToString("\n") {
            val prompt = "stitch ".repeat(random.nextInt(10, 100))
            """{"id":"item-$it","body":{"model":"writer","prompt":"$prompt","max_tokens":128}}"""
        }
    }

    private fun upload(node: Node, body: String) {
        val request = HttpRequest.newBuilder(URI("http://${node.context.settings.callersAddress}/v1/batches/job"))
            .header("Authorization", "Bearer $key")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
        check(response.statusCode() == 201) { response.body() }
    }

    private suspend fun startEngine(vertx: Vertx): String {
        val text = "a".repeat(400)
        val server = vertx.createHttpServer().requestHandler { request ->
            request.response()
                .putHeader("X-Request-Id", request.getHeader("X-Request-Id").orEmpty())
                .end("{\"choices\":[{\"text\":\"$text\"}]}")
        }
        server.listen(0, "127.0.0.1").coAwait()
        return "127.0.0.1:${server.actualPort()}"
    }

    private suspend fun startNode(engine: String): Node {
        append(ConfigurationRecord.CataloguePublished(ConfigurationRecord.NO_VERSION, catalogue(engine)), 0)
        append(ConfigurationRecord.KeyIssued("key", "office", KeyDirectory.hash(key)), 1)
        val unused = "127.0.0.1:9"
        val settings = NodeSettings(
            vm = "vm-1",
            availabilityZone = "thimi",
            callersAddress = freeAddress(),
            peersAddress = freeAddress(),
            platform = PlatformSettings(unused, unused, unused),
        )
        val node = NodeFactory.create(settings) { PlatformPorts(log, EmptyVmList, OpenWeightStore) }
        node.start()
        while (node.configuration.current.value.keys.isEmpty()) delay(10)
        return node
    }

    private suspend fun append(record: ConfigurationRecord, sequence: Long) {
        val serializer = LogEnvelope.serializer(ConfigurationRecord.serializer())
        val envelope = LogEnvelope(producer = "operator", sequence = sequence, record = record)
        log.append(LogStream.CONFIGURATION, WireJson.strict.encodeToString(serializer, envelope))
    }

    private fun catalogue(engine: String) = Catalogue(
        zones = listOf(AvailabilityZone(name = "thimi", region = "bagmati")),
        organisations = listOf(Organisation(id = "office", owner = "office", ratePerSecond = 10.0, burst = 10.0)),
        upstreams = listOf(
            Upstream(
                id = "writer",
                owner = "models",
                kind = UpstreamKind.MODEL,
                workers = listOf(Worker(id = "w", address = engine, zone = "thimi", capacity = 33)),
                models = listOf("writer"),
            ),
        ),
    )

    private fun freeAddress(): String = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    private object EmptyVmList : VmList {
        override suspend fun read() = VmListResult.Vms(emptyList())
    }

    private object OpenWeightStore : WeightStore {
        override suspend fun reserveLoad(model: String) = WeightStoreResult.Granted
    }
}

/** Prints the measurements for `docs/decisions/batch.md`. Argument: seed. */
fun main(arguments: Array<String>) {
    val seed = arguments.firstOrNull()?.toLong() ?: 1
    listOf(false, true).forEach { ended ->
        listOf(1_000 to 2_000, 10_000 to 200, 66_000 to 40).forEach { (items, jobs) ->
            val bytes = IndexMemory.bytesPerJob(jobs, items, ended)
            println(
                "index ended=$ended jobs=$jobs items=$items bytesPerJob=%.0f bytesPerItem=%.3f".format(
                    bytes,
                    bytes / items,
                ),
            )
        }
    }
    BatchCostMeasurement(seed).measure(1_000)
    listOf(1_000, 10_000, 66_000).forEach { BatchCostMeasurement(seed).measure(it) }
    kotlin.system.exitProcess(0)
}
