package org.poplarshift.verification.soak

/**
 * Faults of the link between a node and the store.
 *
 * @property delayMillis delay in each direction
 * @property isCutToStore whether nothing arrives at the store
 * @property isCutFromStore whether nothing arrives at the node
 * @property isReset whether all connections are reset when the faults begin
 */
data class LinkFaults(
    val delayMillis: Long = 0,
    val isCutToStore: Boolean = false,
    val isCutFromStore: Boolean = false,
    val isReset: Boolean = false,
)
