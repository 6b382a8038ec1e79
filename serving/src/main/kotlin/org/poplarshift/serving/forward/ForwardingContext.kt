package org.poplarshift.serving.forward

import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.observe.ResumedStreamRecorder
import org.poplarshift.serving.observe.UnusableResponseRecorder
import org.poplarshift.serving.quarantine.CrashTracker
import org.poplarshift.serving.stream.StreamOrigins

/**
 * Dependencies shared by all classes that send requests to workers.
 *
 * @property tokensPerEvent returns the tokens of the output that an event of a service's streams usually contains
 */
class ForwardingContext(
    val dispatcher: Dispatcher,
    val connections: WorkerConnectionPool,
    val prober: WorkerProber,
    val protocol: WorkerProtocol,
    val clock: MonotonicClock,
    val crashTracker: CrashTracker,
    val unusableResponses: UnusableResponseRecorder,
    val streamOrigins: StreamOrigins,
    val streamRecorder: ResumedStreamRecorder,
    val responseMemory: ResponseMemory = ResponseMemory(RESPONSE_MEMORY_BYTES),
    val starts: WorkerStartVerifier = WorkerStartVerifier(protocol, clock, connections.doubts, clock::millis),
    val tokensPerEvent: (service: String) -> Int = { 1 },
) {
    companion object {
        /** Maximum size of all incomplete responses of workers; a fifth of the heap of a node. */
        const val RESPONSE_MEMORY_BYTES = 20L * 1024 * 1024
    }
}
