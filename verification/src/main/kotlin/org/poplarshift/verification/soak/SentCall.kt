package org.poplarshift.verification.soak

import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.ResponseContent
import org.poplarshift.standins.worker.WorkerRun

/**
 * A call, what its caller received and the runs of workers.
 *
 * @property takeUp the stream that the call resumes, or null
 */
class SentCall(
    val call: Call,
    val kind: CallKind,
    val organisation: String,
    val node: String,
    val sentMillis: Long,
    val takeUp: TakeUp? = null,
) {
    var result: CallResult? = null

    /** The call that brought the first event of the stream. */
    val beginning: SentCall
        get() = takeUp?.beginning ?: this

    /** The software versions of the received events, by the numbers of the events. */
    val versions: Map<Int, String>
        get() = ResponseContent.versions(result?.takeIf { kind.isStream }?.body.orEmpty())

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
