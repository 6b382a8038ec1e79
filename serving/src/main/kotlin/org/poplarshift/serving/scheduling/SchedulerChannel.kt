package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.serving.fleet.FleetMember

/** A connection of this node to a scheduler. */
interface SchedulerChannel {
    /** Sends [message] without waiting. */
    fun send(message: NodeMessage)

    /** Closes the connection. The receiver is not notified. */
    fun close()
}

/** Receives the events of a [SchedulerChannel]. */
interface SchedulerReceiver {
    /** Called for each message of the scheduler. */
    fun onMessage(message: SchedulerMessage)

    /** Called when the scheduler has closed the connection or it has failed. */
    fun onClosed()
}

/** Connects to schedulers. */
fun interface SchedulerConnector {
    /**
     * Connects to the scheduler of [service] at [member] and sends [hello].
     *
     * @return the connection, or null if it can't be established in time
     */
    suspend fun connect(
        member: FleetMember,
        service: String,
        hello: NodeMessage.Hello,
        receiver: SchedulerReceiver,
    ): SchedulerChannel?
}
