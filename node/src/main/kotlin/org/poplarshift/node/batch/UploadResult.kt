package org.poplarshift.node.batch

import org.poplarshift.core.batch.JobState
import org.poplarshift.node.http.ErrorResponse

/** The outcome of an upload. */
sealed interface UploadResult {
    /** The job is accepted; [isNew] is false when it had been accepted before with the same content. */
    data class Accepted(val job: JobState, val isNew: Boolean) : UploadResult

    /** No job was accepted, or that is unknown. */
    data class Refused(val answer: ErrorResponse) : UploadResult
}
