package org.poplarshift.core.orders

/** A worker with the desired state in its last order. */
data class OrderedWorker(val id: String, val capacity: Int, val desired: DesiredState)
