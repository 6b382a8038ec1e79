package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A back end: workers of one kind that can stand in for each other.
 *
 * @property owner the person or team that answers for the entry
 * @property models the models that a model upstream serves; empty for a plain service
 * @property organisations the organisations that may use it; empty means all
 * @property checksOrders whether its engines refuse an order with an old fencing number
 * @property retryBudgetShare retries as a share of first attempts, 0 to 1
 */
@Serializable
data class Upstream(
    val id: String,
    val owner: String,
    val kind: UpstreamKind,
    val workers: List<Worker>,
    val models: List<String> = emptyList(),
    val organisations: List<String> = emptyList(),
    val checksOrders: Boolean = false,
    val retryBudgetShare: Double = 0.1,
    val timeouts: UpstreamTimeouts = UpstreamTimeouts(),
) {
    /** Whether [organisation] may use this upstream. */
    fun isOpenTo(organisation: String): Boolean = organisations.isEmpty() || organisation in organisations
}
