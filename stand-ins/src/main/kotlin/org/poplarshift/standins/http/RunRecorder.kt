package org.poplarshift.standins.http

import io.vertx.core.http.HttpServerRequest
import kotlinx.serialization.Serializable
import org.poplarshift.core.configuration.KeyDirectory

/**
 * Counts the runs of each request, so that a test can verify that a request ran exactly once or not at all.
 *
 * Thread-safe. Holds at most [maximumRequests] requests and removes the oldest first.
 */
class RunRecorder(private val maximumRequests: Int = 100_000) {
    private val requests = object : LinkedHashMap<String, RunEntry>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, RunEntry>): Boolean = size > maximumRequests
    }
    private var started = 0L

    /** Records the start of a run of [requestId] and returns the number of runs started for it so far. */
    @Synchronized
    internal fun recordStart(requestId: String, request: HttpServerRequest, body: String): Int {
        started++
        val runs = (requests[requestId]?.runs ?: 0) + 1
        requests[requestId] = RunEntry(
            requestId = requestId,
            method = request.method().name(),
            path = request.uri(),
            bodySha256 = KeyDirectory.hash(body),
            runs = runs,
            finished = requests[requestId]?.finished ?: 0,
            headers = request.headers().map { RecordedHeader(it.key, it.value) },
        )
        return runs
    }

    /** Records that a run of [requestId] has finished. */
    @Synchronized
    internal fun recordFinish(requestId: String) {
        requests.computeIfPresent(requestId) { _, entry -> entry.copy(finished = entry.finished + 1) }
    }

    /** Returns the recorded requests, oldest first, or only the one with [requestId] if it is not null. */
    @Synchronized
    fun report(requestId: String? = null): RunReport =
        RunReport(total = started, requests = requests.values.filter { requestId == null || it.requestId == requestId })
}

/** The body of `GET /runs`. */
@Serializable
data class RunReport(val total: Long, val requests: List<RunEntry>)

/**
 * The runs of one request.
 *
 * @property requestId the value of `X-Request-Id`
 * @property runs number of runs that started
 * @property finished number of runs that finished
 * @property headers the request headers of the last run
 */
@Serializable
data class RunEntry(
    val requestId: String,
    val method: String,
    val path: String,
    val bodySha256: String,
    val runs: Int,
    val finished: Int,
    val headers: List<RecordedHeader>,
)

/** A request header as received. */
@Serializable
data class RecordedHeader(val name: String, val value: String)
