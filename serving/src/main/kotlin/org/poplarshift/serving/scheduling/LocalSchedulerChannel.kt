package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.serving.MonotonicClock

/** Connects this node to a [scheduler] that runs in the same process. */
class LocalSchedulerChannel(
    private val scheduler: SlotScheduler,
    private val clock: MonotonicClock,
    private val hello: NodeMessage.Hello,
    private val receiver: SchedulerReceiver,
) : SchedulerChannel,
    SlotScheduler.NodeConnection {
    init {
        scheduler.onConnected(hello, clock.millis(), connection = this)
    }

    override fun send(message: NodeMessage) = scheduler.onMessage(hello.node, message, clock.millis())

    override fun send(message: SchedulerMessage) = receiver.onMessage(message)

    // Called by either side. The side that has called it ignores the notification.
    override fun close() {
        scheduler.onDisconnected(hello.node, connection = this)
        receiver.onClosed()
    }
}
