package org.poplarshift.node.dispatch

import kotlinx.coroutines.CompletableDeferred

/** A queued request with its pending decision. */
class Waiter(val ticket: DispatchTicket) {
    val decision = CompletableDeferred<DispatchDecision>()
}
