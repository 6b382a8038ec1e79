package org.poplarshift.core.orders

/** A worker with the state that it was last ordered to have. */
data class OrderedWorker(val id: String, val capacity: Int, val desired: DesiredState)
