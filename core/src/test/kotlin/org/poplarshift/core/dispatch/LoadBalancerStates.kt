package org.poplarshift.core.dispatch

/** The state of the worker [id], or null if it is not registered. */
fun LoadBalancer.stateOf(id: String): WorkerState? = workerStates.firstOrNull { it.worker.id == id }
