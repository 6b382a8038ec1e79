package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.monotonicMillis

/** The state that orders set: loaded models and the role. Keeps the orders that were carried out. */
internal class EngineOrderState(private val settings: EngineSettings) {
    private val modelReadyMillis = settings.models.associateWith { 0L }.toMutableMap()
    private val appliedOrders = mutableListOf<EngineOrder>()
    private var highestFencingToken = Long.MIN_VALUE
    private var role = "mixed"

    /** Carries out [order]; returns false when its fencing token is older than one seen before. */
    fun apply(order: EngineOrder): Boolean {
        if (settings.honoursFencing && order.fencingToken < highestFencingToken) return false
        highestFencingToken = maxOf(highestFencingToken, order.fencingToken)
        appliedOrders += order
        when (order.kind) {
            OrderKind.LOAD -> modelReadyMillis.getOrPut(order.target) { monotonicMillis() + settings.modelLoadMillis }
            OrderKind.UNLOAD -> modelReadyMillis.remove(order.target)
            OrderKind.ROLE -> role = order.target
        }
        return true
    }

    /** Whether requests for [model] run now. */
    fun serves(model: String): Boolean =
        settings.models.isEmpty() || (modelReadyMillis[model] ?: Long.MAX_VALUE) <= monotonicMillis()

    /** The state and the orders that led to it. */
    fun report() = OrdersBody(loaded = modelReadyMillis.keys.sorted(), role = role, applied = appliedOrders.toList())
}

/**
 * An order.
 *
 * @property target the model, adapter or version to load or unload, or the role to take
 */
@Serializable
internal data class EngineOrder(val kind: OrderKind, val target: String, val fencingToken: Long)

/** What an order sets. */
@Serializable
internal enum class OrderKind {
    @SerialName("load")
    LOAD,

    @SerialName("unload")
    UNLOAD,

    @SerialName("role")
    ROLE,
}

/** The body of `GET /orders`. */
@Serializable
internal data class OrdersBody(val loaded: List<String>, val role: String, val applied: List<EngineOrder>)
