package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/** A worker from its start to its end. Its id may come back with another start time after a restart. */
@Serializable
data class WorkerIncarnation(val worker: String, val startedMillis: Long)
