package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Worker

/** Asks workers for their load. */
interface LoadPoller {
    /** Asks [worker] once. */
    suspend fun poll(worker: Worker): LoadPollResult
}
