package org.poplarshift.serving.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.http.SocketAddresses
import org.poplarshift.serving.memory.MemoryOwner
import org.poplarshift.serving.observe.CallRecord
import org.poplarshift.serving.observe.CallRecorder
import java.util.concurrent.TimeUnit
import kotlin.coroutines.coroutineContext

/** The HTTP server for callers. */
class CallerServer(
    private val vertx: Vertx,
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val protocol: CallerProtocol,
    private val configuration: ConfigurationHolder,
    private val handlers: CallHandlers,
    private val recorder: CallRecorder,
    private val clients: ClientContext,
) {
    private class ActiveCall(val record: CallRecord) {
        lateinit var job: Job
    }

    private val gate = ClientGate(PORT, clients, CONNECTION_SHARE) { currentLimits() }
    private var server: HttpServer? = null
    private val activeCalls = LinkedHashSet<ActiveCall>()

    // Time at which the shutdown ends, known once the external load balancer has had time to detect it.
    private var shutdownEndMillis: Long? = null

    /** Number of requests whose response is not complete. */
    val activeRequests: Int
        get() = activeCalls.size

    /** Whether the node is shutting down. Responses then contain the header `Connection: close`. */
    var isShuttingDown = false

    /** Starts accepting connections at [address], with port 0 at a port that the system chooses. Returns the port. */
    suspend fun listen(address: String): Int {
        val socket = SocketAddresses.parse(address)
        val options = HttpServerOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setTcpNoDelay(true)
            .setIdleTimeout(IDLE_SECONDS)
            .setAcceptBacklog(ACCEPT_BACKLOG)
        val listening = vertx.createHttpServer(options)
            .connectionHandler {
                it.exceptionHandler { cause ->
                    logger.debug { "ingress: caller connection failed: ${cause.message}" }
                }
                gate.accept(it)
            }
            .exceptionHandler { cause -> logger.debug { "ingress: accepting a connection failed: ${cause.message}" } }
            .requestHandler { request -> handle(request) }
            .listen()
            .coAwait()
        server = listening
        gate.start(vertx, socket, listening.actualPort())
        return listening.actualPort()
    }

    /**
     * Shuts the server down gracefully.
     *
     * Requests are accepted for another [deregistrationMillis], so that the external load balancer can detect the
     * shutdown. Then idle connections are closed, new ones are refused, and so are requests that may not end in time.
     * Returns when no request is active. After [maximumMillis] in total, the remaining requests get an error response.
     */
    suspend fun drain(deregistrationMillis: Long, maximumMillis: Long) {
        val deadlineMillis = clock.millis() + maximumMillis
        delay(minOf(deregistrationMillis, maximumMillis))
        shutdownEndMillis = deadlineMillis
        server?.shutdown(maximumMillis, TimeUnit.MILLISECONDS)
        awaitNoRequests(deadlineMillis)
        activeCalls.toList().forEach {
            it.record.isStopped = true
            it.job.cancel()
        }
        awaitNoRequests(deadlineMillis + STOP_MILLIS)
        // The last bytes of a response may still be in the connection's buffer.
        delay(FLUSH_MILLIS)
    }

    private suspend fun awaitNoRequests(deadlineMillis: Long) {
        while (activeRequests > 0 && clock.millis() < deadlineMillis) delay(DRAIN_POLL_INTERVAL_MILLIS)
    }

    private fun handle(request: HttpServerRequest) {
        val receivedMillis = clock.millis()
        val operation = protocol.decode(request.method(), request.uri(), request.headers())
        val record = CallRecord(operation.head, request.method().name(), receivedMillis)
        val judgement = handlers.judge(operation, record)
        val body = receive(request, record, isKept = judgement == null && operation is CallerOperation.Request)
        val sink = HttpCallerSink(request, onStart = { record.responseStartMillis = clock.millis() }) { isShuttingDown }
        val call = ActiveCall(record).also { activeCalls += it }
        val job = tasks.launchOnce("call", CoroutineStart.UNDISPATCHED) {
            try {
                judgement?.let { refuseHead(it, request, body, sink, record) }
                    ?: serve(operation, request, body, sink, record)
            } catch (exception: CancellationException) {
                // Otherwise something within the task was cancelled.
                val isCancelled = !coroutineContext.isActive
                if (isCancelled) endCancelled(sink, record) else respondFailed(operation, sink, record)
                throw exception
            } catch (failure: Throwable) {
                respondFailed(operation, sink, record)
                throw failure
            } finally {
                activeCalls -= call
                body.release()
                recorder.finish(record, sink.status, clock.millis())
            }
        }
        call.job = job
        request.response().closeHandler { if (job.isActive && !request.response().ended()) job.cancel() }
        request.response().exceptionHandler { logger.debug { "ingress: sending a response failed: ${it.message}" } }
        request.exceptionHandler { if (job.isActive) job.cancel() }
    }

    private suspend fun serve(
        operation: CallerOperation,
        request: HttpServerRequest,
        body: RequestBody,
        sink: HttpCallerSink,
        record: CallRecord,
    ) {
        val receipt = awaitBody(operation, body)
        record.readMillis = clock.millis()
        if (receipt is BodyReceipt.Dropped) {
            clients.recorder.record(PORT, receipt.fault)
            val refusal = Refusal.incompleteBody(receipt.fault)
            record.end(refusal.reason)
            refuse(sink, refusal, closesConnection = true)
            gate.end(request.connection())
            return
        }
        val bytes = (receipt as BodyReceipt.Complete).bytes
        if (mayOutlastShutdown(operation.head)) {
            record.end(Refusal.SHUTTING_DOWN.reason)
            refuse(sink, Refusal.SHUTTING_DOWN)
            return
        }
        val refusal = handlers.handle(
            IncomingCall(operation, request.method(), request.uri(), request.headers(), bytes),
            sink,
            record,
        )
        if (refusal == null) return
        record.end(refusal.reason)
        refuse(sink, refusal)
    }

    private fun receive(request: HttpServerRequest, record: CallRecord, isKept: Boolean): RequestBody {
        val limit = configuration.current?.limits?.maximumBodyBytes ?: DEFAULT_BODY_BYTES
        val owners = listOfNotNull(
            record.organisation?.let { MemoryOwner(MemoryOwner.Kind.ORGANISATION, it) },
            request.remoteAddress()?.hostAddress()?.let { MemoryOwner(MemoryOwner.Kind.ADDRESS, it) },
        )
        val body = RequestBody(request, limit, isKept, clients.account, owners)
        gate.find(request.connection())?.body = body
        return body
    }

    private suspend fun awaitBody(operation: CallerOperation, body: RequestBody): BodyReceipt =
        withTimeoutOrNull(operation.head.timeoutMillis ?: BODY_MILLIS) { body.await() }
            ?: BodyReceipt.Dropped(ClientFault.BODY_TIMEOUT).also { body.drop(it.fault) }

    /** Refuses a request because of its head. A small body is read, so that the caller can keep the connection. */
    private suspend fun refuseHead(
        refusal: Refusal,
        request: HttpServerRequest,
        body: RequestBody,
        sink: HttpCallerSink,
        record: CallRecord,
    ) {
        record.end(refusal.reason)
        val isChunked = request.headers().contains("Transfer-Encoding")
        val mayRead = !isChunked && (body.statedBytes ?: 0) <= MAXIMUM_UNWANTED_BYTES
        val receipt = if (mayRead) withTimeoutOrNull(UNWANTED_BODY_MILLIS) { body.await() } else null
        if (receipt == null) body.drop(ClientFault.BODY_UNWANTED) else record.readMillis = clock.millis()
        refuse(sink, refusal, closesConnection = receipt !is BodyReceipt.Complete)
        if (receipt !is BodyReceipt.Complete) gate.end(request.connection())
    }

    private fun currentLimits(): ClientLimits = configuration.current?.limits?.let {
        ClientLimits(it.headerMillis, it.idleMillis, it.maximumHeaderBytes)
    } ?: ClientLimits.DEFAULT

    private fun mayOutlastShutdown(head: CallerRequestHead): Boolean {
        val endMillis = shutdownEndMillis ?: return false
        val timeoutMillis = head.timeoutMillis ?: return true
        return clock.millis() + timeoutMillis > endMillis
    }

    private fun endCancelled(sink: HttpCallerSink, record: CallRecord) =
        if (record.isStopped) respondStopped(sink, record) else record.end("caller_gone")

    /** Responds to a call whose task has failed. The owner of the tasks logs the cause. */
    private fun respondFailed(operation: CallerOperation, sink: HttpCallerSink, record: CallRecord) {
        record.end("internal")
        logger.error { "ingress: request ${operation.head.requestId} failed" }
        if (sink.status == null) refuse(sink, Refusal(500, "internal")) else sink.abort()
    }

    /** Responds to a call that the shutdown has ended. A request that has not been read has not run. */
    private fun respondStopped(sink: HttpCallerSink, record: CallRecord) {
        val refusal = if (record.readMillis == null) Refusal.SHUTTING_DOWN else Refusal.OUTCOME_UNKNOWN
        record.end("${Refusal.SHUTTING_DOWN.reason}: ${refusal.status}")
        if (sink.status == null) refuse(sink, refusal) else sink.abort()
    }

    private fun refuse(sink: HttpCallerSink, refusal: Refusal, closesConnection: Boolean = false) {
        val headers = MultiMap.caseInsensitiveMultiMap()
        refusal.retryMillis?.let { headers.addAll(protocol.retryAfterHeaders(it)) }
        if (closesConnection) headers.add("Connection", "close")
        sink.respond(refusal.status, headers, Buffer.buffer())
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val PORT = "callers"

        // The rest is for connections to workers, to other nodes and to the log, for the other ports and for open files.
        const val CONNECTION_SHARE = 0.4

        // Applies to requests that state no timeout. Longer than callers wait for a response.
        const val BODY_MILLIS = 15_000L

        // Reading a body of this size costs less than another connection.
        const val MAXIMUM_UNWANTED_BYTES = 65_536L
        const val UNWANTED_BODY_MILLIS = 1_000L
        const val MAXIMUM_REQUEST_LINE_BYTES = 16_384
        const val MAXIMUM_HEADER_BYTES = 65_536
        const val MAXIMUM_CHUNK_BYTES = 65_536

        // Applies until the first configuration is known. Large enough for any request, which is then refused.
        const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024

        // Exceeds the time for which callers keep a connection idle under any usual configuration.
        const val IDLE_SECONDS = 75

        // A SYN packet that is dropped because the backlog is full is retransmitted only after a second.
        const val ACCEPT_BACKLOG = 1_024
        const val DRAIN_POLL_INTERVAL_MILLIS = 20L
        const val FLUSH_MILLIS = 150L

        // Several times what the error responses to all active requests take.
        const val STOP_MILLIS = 200L
    }
}
