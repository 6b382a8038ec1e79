package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.ratelimit.RateLimitResult
import org.poplarshift.serving.ratelimit.RateLimiter

/**
 * Checks the rate limit of the organisation before a request reaches a scheduler of this node.
 *
 * A request has consumed its token when the scheduler gets it. The token is returned if the request stops waiting, is
 * refused, or gives its slot up unused.
 */
class TokenGate(private val tasks: BackgroundTasks, private val clock: MonotonicClock, val rateLimiter: RateLimiter) {
    /** Connects a node to [scheduler]; its messages have to go through the returned session. */
    fun connect(
        scheduler: SlotScheduler,
        hello: NodeMessage.Hello,
        connection: SlotScheduler.NodeConnection,
    ): Session = Session(scheduler, hello, connection)

    private class HeldToken(val organisation: String) {
        var isGranted = false
    }

    /** The requests of one connection of a node. */
    inner class Session(
        private val scheduler: SlotScheduler,
        hello: NodeMessage.Hello,
        private val connection: SlotScheduler.NodeConnection,
    ) : SlotScheduler.NodeConnection {
        private val node = hello.node

        // By the numbers of the requests.
        private val tokens = HashMap<Long, HeldToken>()
        private val waiting = HashSet<Long>()

        init {
            scheduler.onConnected(hello, clock.millis(), connection = this)
        }

        /** Handles [message] of the node. */
        fun onMessage(message: NodeMessage) {
            when (message) {
                is NodeMessage.Acquire -> onAcquire(message)
                is NodeMessage.Release -> onRelease(message)
                else -> forward(message)
            }
        }

        override fun send(message: SchedulerMessage) {
            when (message) {
                is SchedulerMessage.Granted -> tokens[message.number]?.isGranted = true
                is SchedulerMessage.Refused -> giveBack(message.number)
                // The request goes on with its token, at another scheduler or without one.
                is SchedulerMessage.Redirected -> tokens.remove(message.number)
                is SchedulerMessage.NoWorker -> tokens.remove(message.number)
                else -> Unit
            }
            connection.send(message)
        }

        override fun close() = connection.close()

        /** Called when the connection is closed, by either side. The node asks again for requests without a slot. */
        fun onClosed() {
            scheduler.onDisconnected(node, connection = this)
            waiting.clear()
            tokens.values.filterNot { it.isGranted }.forEach { rateLimiter.giveBack(it.organisation) }
            tokens.clear()
        }

        private fun forward(message: NodeMessage) = scheduler.onMessage(node, message, clock.millis())

        private fun onAcquire(request: NodeMessage.Acquire) {
            val organisation = request.organisation
            when {
                organisation == null || !request.needsToken -> forward(request)
                rateLimiter.tryAcquire(organisation) -> forwardWithToken(request, organisation)
                else -> {
                    waiting += request.number
                    tasks.launchOnce("token for a request", onFailed = {
                        refuse(request.number, FAILED_RETRY_MILLIS)
                    }) {
                        awaitToken(request, organisation)
                    }
                }
            }
        }

        private suspend fun awaitToken(request: NodeMessage.Acquire, organisation: String) {
            when (val result = rateLimiter.acquire(organisation)) {
                is RateLimitResult.Exceeded -> refuse(request.number, result.retryMillis)
                RateLimitResult.Allowed ->
                    if (waiting.remove(request.number)) {
                        forwardWithToken(request, organisation)
                    } else {
                        rateLimiter.giveBack(organisation)
                    }
            }
        }

        private fun forwardWithToken(request: NodeMessage.Acquire, organisation: String) {
            tokens[request.number] = HeldToken(organisation)
            forward(request)
        }

        private fun refuse(number: Long, retryMillis: Long) {
            if (waiting.remove(number)) connection.send(SchedulerMessage.RateExceeded(number, retryMillis))
        }

        private fun onRelease(message: NodeMessage.Release) {
            val isWaiting = waiting.remove(message.number)
            if (message.outcome == SlotOutcome.UNUSED) giveBack(message.number) else tokens.remove(message.number)
            if (!isWaiting) forward(message)
        }

        private fun giveBack(number: Long) {
            tokens.remove(number)?.let { rateLimiter.giveBack(it.organisation) }
        }
    }

    private companion object {
        // Enough for another holder to be asked.
        const val FAILED_RETRY_MILLIS = 200L
    }
}
