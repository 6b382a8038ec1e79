package org.poplarshift.serving.ingress

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpRequest
import org.poplarshift.serving.memory.MemoryAccount
import org.poplarshift.serving.memory.MemoryUse
import org.poplarshift.serving.memory.PacedWriter

/**
 * Bounds what one connection of a client takes.
 *
 * Received bytes are decoded in slices, and no further ones while responses wait to be read or several requests wait for
 * their responses. Timeouts are enforced by [check], which the gate calls periodically.
 */
internal class ClientConnection(private val gate: ClientGate, private val channel: Channel) : ChannelDuplexHandler() {
    private val writer = PacedWriter()
    private val held = ArrayDeque<ByteBuf>()
    private var heldBytes = 0
    private val holding: MemoryAccount.Holding =
        gate.account.hold(MemoryUse.CONNECTION) { giveUp(ClientFault.MEMORY) }
    private lateinit var context: ChannelHandlerContext
    private var isForwarding = false
    private var drainedMillis = gate.clock.millis()
    private var responseEndMillis = 0L
    private var endMillis: Long? = null

    val progress = RequestProgress()

    /** The body of the current request, if it is buffered. */
    var body: RequestBody? = null

    /** Time of the last byte that was received or response that was completed, in monotonic milliseconds. */
    var activeMillis = gate.clock.millis()
        private set

    /** Whether the connection is about to be closed, so that received bytes are dropped. */
    val isEnding: Boolean
        get() = endMillis != null

    /** Whether no request is being received or answered. */
    val isIdle: Boolean
        get() = progress.unanswered == 0 && progress.isInHead && progress.headBytes == 0 && !progress.isUpgraded

    /** Adds the handlers to the pipeline of the channel, in front of those of the HTTP server. */
    fun install(server: ChannelHandlerContext) {
        writer.onDrained = ::onDrained
        channel.pipeline().addFirst("client", this).addFirst("writer", writer)
            .addBefore(server.name(), "watch", RequestWatch(this))
        account()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || progress.isUpgraded) {
            context.fireChannelRead(message)
            return
        }
        if (isEnding) {
            message.release()
            return
        }
        activeMillis = gate.clock.millis()
        held += message
        heldBytes += message.readableBytes()
        forward()
        if (held.isNotEmpty()) {
            channel.config().isAutoRead = false
            moveToHeap()
        }
        account()
    }

    // Called when the server continues to read.
    override fun read(context: ChannelHandlerContext) {
        forward()
        if (held.isEmpty()) context.read()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        drop()
        holding.free()
        gate.remove(this)
        context.fireChannelInactive()
    }

    // The server closes a connection whose request it does not want. A reset would destroy the response on its way.
    override fun close(context: ChannelHandlerContext, promise: ChannelPromise) {
        val isRequestIncomplete = !progress.isInHead && !progress.isUpgraded
        if (isRequestIncomplete && !isEnding && channel.isActive) {
            promise.trySuccess()
            end()
        } else {
            context.close(promise)
        }
    }

    /** Records that a response is complete. */
    fun onResponseEnd() {
        progress.onResponseEnd()
        activeMillis = gate.clock.millis()
        responseEndMillis = activeMillis
        account()
        if (held.isNotEmpty()) channel.eventLoop().execute { resume() }
    }

    /** Whether the head of [request] is within the limits. Otherwise the connection ends. */
    fun admitHead(request: HttpRequest): Boolean {
        if (isEnding) return false
        var fields = 0
        var headerBytes = 0
        for (field in request.headers().iteratorCharSequence()) {
            fields++
            headerBytes += field.key.length + field.value.length
        }
        val fault = when {
            fields > ClientLimits.MAXIMUM_FIELDS -> ClientFault.TOO_MANY_FIELDS
            headerBytes > gate.limits.headerBytes -> ClientFault.HEAD_TOO_LARGE
            else -> null
        }
        if (fault == null) progress.onHead(request, gate.clock.millis()) else refuse(fault, HEAD_REFUSAL)
        return fault == null
    }

    /** Enforces the timeouts at [nowMillis]. */
    fun check(nowMillis: Long) {
        val end = endMillis
        if (end != null) {
            if (nowMillis - end > ClientLimits.LINGER_MILLIS) closeNow()
            return
        }
        if (writer.pendingBytes == 0L) drainedMillis = nowMillis
        if (progress.isUpgraded) return
        val limits = gate.limits
        val elapsedMillis = nowMillis - progress.startMillis
        when {
            nowMillis - drainedMillis > limits.idleMillis -> giveUp(ClientFault.UNREAD_RESPONSE)
            !progress.isInHead -> checkBody(elapsedMillis, nowMillis)
            progress.headBytes > 0 -> checkHead(nowMillis)
            progress.unanswered == 0 && nowMillis - activeMillis > limits.idleMillis -> giveUp(ClientFault.IDLE)
        }
    }

    /** Ends the connection so that the client can receive what has been written. */
    fun end() {
        if (isEnding) return
        endMillis = gate.clock.millis()
        drop()
        channel.config().isAutoRead = true
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            if (it.isSuccess) (channel as DuplexChannel).shutdownOutput()
        }
        account()
    }

    /** Closes the connection because of [fault]. */
    fun giveUp(fault: ClientFault) {
        gate.recorder.record(gate.port, fault)
        closeNow()
    }

    // The client can't complete a head while the server does not read because of earlier requests.
    private fun checkHead(nowMillis: Long) {
        if (held.isNotEmpty() || progress.unanswered > 0) return
        if (nowMillis - maxOf(progress.startMillis, responseEndMillis) > gate.limits.headMillis) {
            refuse(ClientFault.HEAD_TIMEOUT, TIMEOUT_REFUSAL)
        }
    }

    private fun checkBody(elapsedMillis: Long, nowMillis: Long) {
        val isAnswered = progress.unanswered == 0
        val expected =
            (elapsedMillis - ClientLimits.BODY_GRACE_MILLIS) * ClientLimits.BODY_BYTES_PER_SECOND / MILLIS_PER_SECOND
        when {
            isAnswered && nowMillis - responseEndMillis > ClientLimits.LATE_BODY_MILLIS -> {
                gate.recorder.record(gate.port, ClientFault.BODY_UNWANTED)
                end()
            }

            held.isNotEmpty() || progress.unanswered > 1 || progress.bodyBytes >= expected -> Unit
            else -> body?.drop(ClientFault.BODY_TIMEOUT) ?: giveUp(ClientFault.BODY_TIMEOUT)
        }
    }

    private fun refuse(fault: ClientFault, response: String) {
        gate.recorder.record(gate.port, fault)
        // A response to this request must not overtake those to earlier ones.
        if (progress.unanswered == 0) context.write(Unpooled.copiedBuffer(response, Charsets.US_ASCII))
        end()
    }

    private fun forward() {
        if (isForwarding) return
        isForwarding = true
        try {
            while (mayForward()) forwardSlice()
        } finally {
            isForwarding = false
        }
    }

    private fun mayForward(): Boolean = held.isNotEmpty() &&
        (!progress.isInHead || progress.unanswered < ClientLimits.PIPELINED_REQUESTS) &&
        writer.pendingBytes < ClientLimits.UNSENT_BYTES

    private fun forwardSlice() {
        val first = held.first()
        val count = minOf(first.readableBytes(), progress.nextBytes)
        heldBytes -= count
        progress.onBytes(first, count, gate.clock.millis())
        val slice = if (count == first.readableBytes()) held.removeFirst() else first.readRetainedSlice(count)
        context.fireChannelRead(slice)
        if (!isEnding && progress.isInHead) checkHeadSize()
    }

    private fun checkHeadSize() = when {
        progress.headLines > ClientLimits.MAXIMUM_FIELDS + 1 -> refuse(ClientFault.TOO_MANY_FIELDS, HEAD_REFUSAL)
        progress.headBytes > gate.limits.headerBytes + ClientLimits.REQUEST_LINE_BYTES ->
            refuse(ClientFault.HEAD_TOO_LARGE, HEAD_REFUSAL)

        else -> Unit
    }

    private fun onDrained() {
        if (writer.pendingBytes == 0L) drainedMillis = gate.clock.millis()
        if (held.isNotEmpty()) resume()
    }

    private fun resume() {
        forward()
        context.fireChannelReadComplete()
        if (held.isEmpty() && progress.unanswered <= 1) continueReading()
        account()
    }

    // The server may have continued to read while bytes were held, which had no effect then.
    private fun continueReading() {
        if (channel.config().isAutoRead) context.read() else channel.config().isAutoRead = true
    }

    private fun account() {
        if (held.isEmpty() && writer.pendingBytes == 0L) holding.restart()
        holding.resize(CONNECTION_BYTES + heldBytes + writer.pendingBytes + progress.headMemory)
    }

    // Direct memory is needed for the connections to workers and to the log.
    private fun moveToHeap() {
        val last = held.removeLast()
        held += if (last.isDirect) Unpooled.copiedBuffer(last).also { last.release() } else last
    }

    private fun drop() {
        held.forEach { it.release() }
        held.clear()
        heldBytes = 0
    }

    private fun closeNow() {
        endMillis = endMillis ?: gate.clock.millis()
        drop()
        context.close()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        // The objects of a connection and of its request, and the buffers of the decoder.
        const val CONNECTION_BYTES = 6_144L

        const val HEAD_REFUSAL =
            "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        const val TIMEOUT_REFUSAL = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    }
}
