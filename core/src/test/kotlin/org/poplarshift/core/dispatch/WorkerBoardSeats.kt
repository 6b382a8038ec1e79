package org.poplarshift.core.dispatch

/** What [this] knows of the worker [id]. */
fun WorkerBoard.seat(id: String): WorkerSeat? = all.firstOrNull { it.worker.id == id }
