package org.poplarshift.node.dispatch

import kotlinx.coroutines.CompletableDeferred

/** A request that waits for room. */
class Waiter(val ticket: DispatchTicket) {
    val decision = CompletableDeferred<DispatchDecision>()
}
