package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Worker

/** Polls workers for their load. */
interface LoadPoller {
    /** Polls [worker] once. */
    suspend fun poll(worker: Worker): LoadPollResult
}
