package org.poplarshift.operator.load

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Runs a load plan as an open loop: requests are sent on schedule, regardless of outstanding responses. */
class LoadRunner(private val plan: LoadPlan, private val keys: Map<String, String>) {
    /** The results by organisation, updated during the run. */
    val results = plan.streams.map { it.organisation }.distinct().associateWith { OrganisationResults(it) }

    /** Runs the plan to completion and waits for the outstanding responses. */
    suspend fun run(): LoadReport {
        val vertx = Vertx.vertx()
        try {
            val startNanos = System.nanoTime()
            coroutineScope {
                plan.streams.forEachIndexed { index, stream -> launch { send(vertx, stream, index, startNanos) } }
            }
            return LoadReport(plan.durationSeconds, results.values.map { it.report(plan.durationSeconds) })
        } finally {
            vertx.close().coAwait()
        }
    }

    private suspend fun send(vertx: Vertx, stream: LoadStream, index: Int, startNanos: Long) = coroutineScope {
        val pool = PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS)
        val client = vertx.createHttpClient(HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS), pool)
        val request = LoadRequest(
            client = client,
            stream = stream,
            key = keys.getValue(stream.organisation),
            results = results.getValue(stream.organisation),
        )
        SendSchedule(plan).sendTimes(stream, index).forEachIndexed { number, sendNanos ->
            val dueNanos = startNanos + sendNanos
            delay((dueNanos - System.nanoTime()) / NANOS_PER_MILLI)
            launch { request.run(number, dueNanos) }
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
        const val MAXIMUM_CONNECTIONS = 5_000
        const val CONNECT_TIMEOUT_MILLIS = 5_000
    }
}
