package org.poplarshift.standins.platform

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import org.poplarshift.standins.http.Outage
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond
import java.util.Random

/** The log service: appends and long-polling reads, with fault injection. */
internal class LogRoutes(private val vertx: Vertx) {
    private val streams = mutableMapOf<String, StoredStream>()
    private val pendingReads = mutableMapOf<String, MutableList<PendingRead>>()
    private val appendBucket = TokenBucket()
    private var random = Random(1)
    private var lostResponsesLeft = 0
    private var faults = PlatformFaults()

    /** Adds the log routes to [router]. */
    fun mount(router: Router) {
        router.post("/log/:stream/records").handler(::append)
        router.get("/log/:stream/records").handler(::read)
    }

    /** Replaces the injected faults and resets their counter and random number generator. */
    fun applyFaults(newFaults: PlatformFaults) {
        faults = newFaults
        lostResponsesLeft = newFaults.lostAppendResponses
        random = Random(newFaults.seed)
    }

    private fun append(context: RoutingContext) {
        val name = context.pathParam("stream")
        if (outageOf(name).intercepts(context)) return
        val rate = faults.appendsPerSecond
        if (!appendBucket.tryAcquire(rate / MILLIS_PER_SECOND, capacity = maxOf(1.0, rate / 2), monotonicMillis())) {
            context.response().setStatusCode(503).putHeader("Retry-After", "1").end("append rate exceeded")
            return
        }
        val offset = stream(name).append(context.body().asString().orEmpty(), monotonicMillis())
        completePendingReads(name)
        if (isResponseLost()) {
            context.request().connection().close()
        } else {
            runAfter(faults.appendDelayMillis) { context.respond(AppendBody(offset)) }
        }
    }

    private fun read(context: RoutingContext) {
        val name = context.pathParam("stream")
        if (outageOf(name).intercepts(context)) return
        val query = context.queryParams()
        val pendingRead = PendingRead(
            context = context,
            from = query["from"]?.toLongOrNull() ?: 0,
            limit = query["limit"]?.toIntOrNull() ?: DEFAULT_LIMIT,
        )
        val waitMillis = query["waitMillis"]?.toLongOrNull() ?: 0
        if (waitMillis > 0 && stream(name).read(pendingRead.from, 1).records.isEmpty()) {
            awaitRecord(name, pendingRead, waitMillis)
        } else {
            complete(name, pendingRead)
        }
    }

    private fun awaitRecord(name: String, pendingRead: PendingRead, waitMillis: Long) {
        val pending = pendingReads.getOrPut(name) { mutableListOf() }
        pending += pendingRead
        pendingRead.context.response().closeHandler { pending -= pendingRead }
        vertx.setTimer(waitMillis) { if (pending.remove(pendingRead)) complete(name, pendingRead) }
    }

    private fun completePendingReads(name: String) {
        val pending = pendingReads[name] ?: return
        val ready = pending.filter { stream(name).read(it.from, 1).records.isNotEmpty() }
        pending -= ready.toSet()
        ready.forEach { complete(name, it) }
    }

    private fun complete(name: String, pendingRead: PendingRead) = runAfter(faults.readDelayMillis) {
        if (!outageOf(name).intercepts(pendingRead.context)) {
            pendingRead.context.respond(stream(name).read(pendingRead.from, pendingRead.limit))
        }
    }

    private fun stream(name: String): StoredStream {
        val stream = streams.getOrPut(name) { StoredStream() }
        stream.trim(faults.retentionRecords, faults.retentionMillis, monotonicMillis())
        return stream
    }

    private fun outageOf(name: String): Outage {
        val isAffected = faults.logOutageStreams.isEmpty() || name in faults.logOutageStreams
        return if (isAffected) faults.logOutage else Outage.NONE
    }

    private fun isResponseLost(): Boolean {
        if (lostResponsesLeft > 0) {
            lostResponsesLeft--
            return true
        }
        return faults.lostAppendShare > 0 && random.nextDouble() < faults.lostAppendShare
    }

    private fun runAfter(delayMillis: Long, action: () -> Unit) {
        if (delayMillis <= 0) action() else vertx.setTimer(delayMillis) { action() }
    }

    private class PendingRead(val context: RoutingContext, val from: Long, val limit: Int)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val DEFAULT_LIMIT = 1_000
    }
}
