package org.poplarshift.standins.store

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond
import java.util.Base64
import kotlin.random.Random

/**
 * Simulates the store of the users' platform: keyed topics and consumer groups.
 *
 * Each caller has a listener of its own, so that faults can differ between callers. Must be used on one event loop.
 *
 * @param partitions number of partitions of each topic
 */
class StoreStandIn(private val vertx: Vertx, private val random: Random, private val partitions: Int = 8) {
    private val topics = HashMap<String, List<StoredPartition>>()
    private val groups = HashMap<String, StoredGroup>()
    private val faults = HashMap<String, StoreFaults>()

    /** Opens a listener for [caller] and returns its port. */
    suspend fun listen(caller: String, host: String): Int {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.route().handler { if (!intercepts(caller, it)) it.next() }
        router.post("/-/log-append").handler { append(caller, it) }
        router.get("/-/log-read").handler { read(caller, it) }
        router.get("/-/log-newest").handler { newest(caller, it) }
        router.post("/-/log-join").handler { join(caller, it) }
        router.post("/-/log-leave").handler { leave(caller, it) }
        val options = HttpServerOptions().setHost(host).setPort(0)
        return vertx.createHttpServer(options).requestHandler(router).listen().coAwait().actualPort()
    }

    /** Replaces the faults towards [caller]. */
    fun applyFaults(caller: String, changed: StoreFaults) {
        faults[caller] = changed
    }

    /** Writes [value] under [key] to partition 0 of [topic], as the operator and the workers do. */
    fun put(topic: String, key: String, value: String) {
        partition(topic, 0).append(listOf(StoredValue(key, value.encodeToByteArray())))
    }

    /** Deletes all records in order; the newest of each key remain. */
    fun forgetHistory() = topics.values.flatten().forEach { it.forgetHistory() }

    /** Distributes the partitions of all groups anew. */
    fun redistribute() = groups.values.forEach { it.redistribute() }

    private fun faultsOf(caller: String): StoreFaults = faults[caller] ?: StoreFaults()

    private fun intercepts(caller: String, context: RoutingContext): Boolean {
        val current = faultsOf(caller)
        if (current.outage.intercepts(context)) return true
        val isThrottled = random.nextDouble() < current.throttledShare
        if (isThrottled) context.response().setStatusCode(TOO_MANY_REQUESTS).end()
        return isThrottled
    }

    private fun partition(topic: String, number: Int): StoredPartition =
        topics.getOrPut(topic) { List(partitions) { StoredPartition() } }[number]

    private fun partition(context: RoutingContext): StoredPartition =
        partition(context.queryParam("topic").first(), context.queryParam("part").first().toInt())

    private fun append(caller: String, context: RoutingContext) {
        val current = faultsOf(caller)
        val partition = partition(context)
        val values = StoreFormat.decode(context.body().buffer() ?: Buffer.buffer())
        val at = context.queryParam("at").firstOrNull()?.toLong()
        if (random.nextDouble() < current.lateShare) {
            vertx.setTimer(random.nextLong(1, StoreFaults.LATEST_MILLIS)) {
                if (at == null || at == partition.end) partition.append(values)
            }
            return
        }
        if (at != null && at != partition.end) {
            return later(caller) { context.respond(End(partition.end), PRECONDITION_FAILED) }
        }
        val offset = partition.append(values)
        if (random.nextDouble() < current.lostShare) return
        later(caller) { context.respond(AppendAnswer(offset, partition.end)) }
    }

    private fun read(caller: String, context: RoutingContext) {
        val partition = partition(context)
        val from = context.queryParam("from").first().toLong()
        val waitMillis = context.queryParam("wait_ms").firstOrNull()?.toLong() ?: 0
        if (from < partition.end || waitMillis == 0L || from < partition.firstOffset) {
            return sendRecords(caller, context, partition, from)
        }
        var isSent = false
        val send = {
            if (!isSent) {
                isSent = true
                sendRecords(caller, context, partition, from)
            }
        }
        partition.onNextAppend(send)
        vertx.setTimer(waitMillis) { send() }
    }

    private fun sendRecords(caller: String, context: RoutingContext, partition: StoredPartition, from: Long) {
        if (from < partition.firstOffset) return later(caller) { context.respond(Gone(partition.firstOffset), GONE) }
        val body = StoreFormat.encode(partition.end, partition.firstOffset, partition.read(from, MAXIMUM_READ_BYTES))
        later(caller) { if (!context.response().closed()) context.response().end(body) }
    }

    private fun newest(caller: String, context: RoutingContext) {
        val partition = partition(context)
        val records = partition.newest(context.queryParam("after").firstOrNull().orEmpty(), PAGE_RECORDS + 1)
        val items = records.take(PAGE_RECORDS).map {
            NewestRecord(it.value.key, Base64.getEncoder().encodeToString(it.value.content), it.offset)
        }
        val page = NewestPage(items, records.size > PAGE_RECORDS, partition.end)
        later(caller) { context.respond(page) }
    }

    private fun join(caller: String, context: RoutingContext) {
        val call = json.decodeFromString(JoinCall.serializer(), context.body().asString())
        val group = groups.getOrPut(call.group) { StoredGroup() }
        val all = call.topics.flatMap { topic -> List(partitions) { GroupPartition(topic, it) } }
        val now = monotonicMillis()
        val held = group.join(call.member, all, call.generation, now, now + call.membershipMillis)
        val rows = held.joinToString(",") { "[\"${it.topic}\",${it.number},0]" }
        later(caller) { context.end("{\"generation\":${group.generation},\"parts\":[$rows]}") }
    }

    private fun leave(caller: String, context: RoutingContext) {
        val call = json.decodeFromString(JoinCall.serializer(), context.body().asString())
        groups[call.group]?.leave(call.member)
        later(caller) { context.end("{}") }
    }

    private fun later(caller: String, send: () -> Unit) {
        val delayMillis = faultsOf(caller).delayMillis
        if (delayMillis <= 0) send() else vertx.setTimer(delayMillis) { send() }
    }

    @Serializable
    private data class AppendAnswer(val offset: Long, val end: Long)

    @Serializable
    private data class End(val end: Long)

    @Serializable
    private data class Gone(val first: Long)

    @Serializable
    private data class NewestRecord(val key: String, val value: String, val offset: Long)

    @Serializable
    private data class NewestPage(val items: List<NewestRecord>, val more: Boolean, val end: Long)

    @Serializable
    private data class JoinCall(
        val group: String,
        val member: String,
        val topics: List<String> = emptyList(),
        @SerialName("ttl_ms") val membershipMillis: Long = 0,
        val generation: Long = 0,
    )

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val TOO_MANY_REQUESTS = 429
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val MAXIMUM_READ_BYTES = 1024 * 1024

        // Smaller than the platform's pages, so that a short run reads several.
        const val PAGE_RECORDS = 100
    }
}
