package org.poplarshift.node.caller

import org.poplarshift.node.http.ErrorResponse

/** A caller's request after all checks that need no other part of the node. */
sealed interface PreparedRequest {
    /** The request may be run. */
    data class Ready(val request: OnlineRequest) : PreparedRequest

    /** The request breaks a rule. */
    data class Rejected(val error: ErrorResponse) : PreparedRequest
}
