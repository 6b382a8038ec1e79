package org.poplarshift.core.dispatch

/** What [this] knows of the worker [id]. */
fun LoadBalancer.stateOf(id: String): WorkerState? = workerStates.firstOrNull { it.worker.id == id }
