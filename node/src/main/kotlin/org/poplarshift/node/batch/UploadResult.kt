package org.poplarshift.node.batch

import org.poplarshift.core.batch.JobState
import org.poplarshift.node.http.ErrorResponse

/** The outcome of an upload. */
sealed interface UploadResult {
    /** The job is accepted. [isNew] is false if it was accepted before with the same content. */
    data class Accepted(val job: JobState, val isNew: Boolean) : UploadResult

    /** The job was not accepted, or whether it was accepted is unknown. */
    data class Refused(val answer: ErrorResponse) : UploadResult
}
