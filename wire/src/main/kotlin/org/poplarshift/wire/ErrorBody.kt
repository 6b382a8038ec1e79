package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.verdict.RunStatus

/** The body of every error answer to a caller: `{"error":{"code","message","ran"}}`. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * What went wrong.
 *
 * @property code the code of a [org.poplarshift.core.verdict.RefusalReason]
 * @property message one sentence for a person
 * @property ran whether the request may have run
 */
@Serializable
data class ErrorDetail(val code: String, val message: String, val ran: RunStatus)
