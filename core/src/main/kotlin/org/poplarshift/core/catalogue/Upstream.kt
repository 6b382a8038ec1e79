package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A back end that consists of interchangeable workers of one kind.
 *
 * @property owner the person or team that is responsible for the entry
 * @property models the models that a model upstream serves; empty for a service upstream
 * @property organisations the organisations that may use the upstream; empty means all
 * @property checksOrders whether the engines reject an order with an outdated fencing token
 * @property retryBudgetShare the maximum number of retries as a share of first attempts, from 0 to 1
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
