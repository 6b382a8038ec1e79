package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.verdict.RunStatus

/** Body of every error response to a caller: `{"error":{"code","message","ran"}}`. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/**
 * Details of an error.
 *
 * @property code the code of a [org.poplarshift.core.verdict.RefusalReason]
 * @property message human-readable sentence
 * @property ran whether the request may have run
 */
@Serializable
data class ErrorDetail(val code: String, val message: String, val ran: RunStatus)
