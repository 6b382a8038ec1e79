package org.poplarshift.verification.soak

import org.poplarshift.standins.store.StoreFaults
import org.poplarshift.standins.worker.ResponseFault

/** A fault that the soak injects from outside of the nodes. */
sealed interface SoakFault {
    /** Kills processes; they start again. */
    data class Kill(val count: Int) : SoakFault

    /** Kills all processes and keeps them down for [downMillis]. */
    data class KillAll(val downMillis: Long) : SoakFault

    /** Pauses a process. */
    data class Pause(val millis: Long) : SoakFault

    /** Sends SIGTERM to [count] processes in turn. */
    data class Terminate(val count: Int, val gapMillis: Long) : SoakFault

    /** Sends SIGHUP several times. */
    data class HangUp(val count: Int) : SoakFault

    /** Faults of the store towards [nodes] of the nodes. */
    data class Store(val nodes: Int, val faults: StoreFaults, val millis: Long) : SoakFault

    /** Faults of the link between the node with the number [node] and the store. */
    data class Link(val node: Int, val faults: LinkFaults, val millis: Long) : SoakFault

    /** The store deletes its history. */
    data object ForgetHistory : SoakFault

    /** The store distributes all shares anew. */
    data object Redistribute : SoakFault

    /** Workers respond in this way to a [share] of their requests. */
    data class Responses(val fault: ResponseFault, val share: Double, val millis: Long) : SoakFault

    /** A worker ends without notice and a new one starts. */
    data object WorkerCrash : SoakFault

    /** A worker crashes and is back at the same address under the same id. */
    data class WorkerRestart(val downMillis: Long) : SoakFault

    /** A worker ends without notice and a worker of another service gets its address. */
    data object AddressTaken : SoakFault

    /** A worker leaves as planned and a new one starts. */
    data object WorkerDrain : SoakFault

    /** Starts [count] workers of a newer software version. As many of the oldest workers leave after [millis]. */
    data class Release(val count: Int, val millis: Long) : SoakFault

    /** A worker is slower for a while. */
    data class WorkerSlow(val paceMillis: Long, val millis: Long) : SoakFault

    /** The operator replaces a key. */
    data object ReplaceKey : SoakFault

    /** The operator writes a new version of the configuration without a change. */
    data class Configurations(val count: Int) : SoakFault

    /** The organisation with a limit exceeds it. */
    data class HotOrganisation(val factor: Int, val millis: Long) : SoakFault

    /** Many submissions are sent at once. */
    data class SubmissionBurst(val burst: Int, val millis: Long) : SoakFault
}
