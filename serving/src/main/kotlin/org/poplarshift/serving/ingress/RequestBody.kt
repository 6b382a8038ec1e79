package org.poplarshift.serving.ingress

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import org.poplarshift.serving.memory.MemoryAccount
import org.poplarshift.serving.memory.MemoryOwner
import org.poplarshift.serving.memory.MemoryUse

/** The outcome of receiving the body of a request. */
sealed interface BodyReceipt {
    /** The body was received; it is empty unless it is kept. */
    class Complete(val bytes: Buffer) : BodyReceipt

    /** The body is not complete, and the rest of it is dropped. */
    data class Dropped(val fault: ClientFault) : BodyReceipt
}

/**
 * Receives the body of a request, up to a limit and as far as [account] has room for it. Must be created in the event that
 * delivers the request.
 *
 * @param isKept whether the body is needed; otherwise its bytes are dropped as they arrive
 */
class RequestBody(
    request: HttpServerRequest,
    private val maximumBytes: Int,
    private val isKept: Boolean,
    account: MemoryAccount,
    owners: List<MemoryOwner>,
) {
    private val receipt = CompletableDeferred<BodyReceipt>()
    private val holding = account.hold(MemoryUse.REQUEST_BODY, owners) { drop(ClientFault.MEMORY) }
    private val parts = ArrayList<Buffer>()
    private var bytes = 0

    /** Size that the request states, or null. */
    val statedBytes: Long? = request.getHeader("Content-Length")?.toLongOrNull()

    init {
        if ((statedBytes ?: 0) > maximumBytes) drop(ClientFault.BODY_TOO_LARGE)
        request.handler { if (!receipt.isCompleted) add(it) }
        request.endHandler { if (!receipt.isCompleted) complete() }
    }

    /** Waits for the complete body. */
    suspend fun await(): BodyReceipt = receipt.await()

    /** Drops the body because of [fault], unless it is complete. */
    fun drop(fault: ClientFault) {
        if (receipt.isCompleted) return
        release()
        receipt.complete(BodyReceipt.Dropped(fault))
    }

    /** Frees the memory of the body. */
    fun release() {
        parts.clear()
        holding.free()
    }

    private fun add(part: Buffer) {
        bytes += part.length()
        if (bytes > maximumBytes) return drop(ClientFault.BODY_TOO_LARGE)
        if (!isKept) return
        // Many small parts would take many times the memory of their bytes.
        val last = parts.lastOrNull()
        if (last != null && last.length() + part.length() <= PART_BYTES) last.appendBuffer(part) else parts += part
        holding.resize(bytes.toLong())
    }

    private fun complete() {
        val joined = if (parts.size == 1) parts.first() else join()
        parts.clear()
        // The request may run from now on, so that its body can't be given up any more.
        holding.isEvictable = false
        receipt.complete(BodyReceipt.Complete(joined))
    }

    private fun join(): Buffer {
        val joined = Buffer.buffer(bytes)
        parts.forEach { joined.appendBuffer(it) }
        return joined
    }

    private companion object {
        const val PART_BYTES = 16_384
    }
}
