package org.poplarshift.verification.soak

import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.WorkerRun

/** A call, what its caller received and the runs of workers. */
class SentCall(val call: Call, val kind: CallKind, val organisation: String, val node: String, val sentMillis: Long) {
    var result: CallResult? = null

    /** Runs in the order in which they started. */
    val runs = ArrayList<WorkerRun>()

    /** Short description for reports. */
    fun describe(): String {
        val received = result?.let {
            "${it.status} complete=${it.isComplete} ${it.failure.orEmpty()} at ${it.endMillis}"
        }
        val ran = runs.joinToString { "${it.worker}@${it.startMillis}:${it.status} ${it.fault}" }
        return "${call.id} $kind ${call.uri} at $node sent $sentMillis received [$received] runs [$ran]"
    }
}

/** The kinds of calls. */
enum class CallKind(val prefix: String, val isStream: Boolean, val isIdempotent: Boolean) {
    SAFE("/safe/", isStream = false, isIdempotent = true),
    UNSAFE("/unsafe/", isStream = false, isIdempotent = false),
    RESUMABLE("/resumable/", isStream = true, isIdempotent = true),
    STREAM("/stream/", isStream = true, isIdempotent = false),
}
