package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotScheduler

/** Connects this node to a [scheduler] that runs in the same process. */
class LocalSchedulerChannel(
    scheduler: SlotScheduler,
    tokenGate: TokenGate,
    hello: NodeMessage.Hello,
    private val receiver: SchedulerReceiver,
) : SchedulerChannel,
    SlotScheduler.NodeConnection {
    private val session = tokenGate.connect(scheduler, hello, connection = this)

    override fun send(message: NodeMessage) = session.onMessage(message)

    override fun send(message: SchedulerMessage) = receiver.onMessage(message)

    // Called by either side. The side that has called it ignores the notification.
    override fun close() {
        session.onClosed()
        receiver.onClosed()
    }
}
