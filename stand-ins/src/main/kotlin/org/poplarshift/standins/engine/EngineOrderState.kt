package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.monotonicMillis

/** The state that orders change: loaded models and the role. Keeps all applied orders. */
internal class EngineOrderState(private val settings: EngineSettings) {
    private val modelReadyMillis = settings.models.associateWith { 0L }.toMutableMap()
    private val appliedOrders = mutableListOf<EngineOrder>()
    private var highestFencingToken = Long.MIN_VALUE
    private var role = "mixed"

    /**
     * Applies [order]. If fencing is honoured, an order with a fencing token lower than an earlier one is not applied
     * and the result is false.
     */
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

    /** Whether [model] is loaded. An engine configured without models serves any model. */
    fun serves(model: String): Boolean =
        settings.models.isEmpty() || (modelReadyMillis[model] ?: Long.MAX_VALUE) <= monotonicMillis()

    /** Returns the current state and the applied orders. */
    fun report() = OrdersBody(loaded = modelReadyMillis.keys.sorted(), role = role, applied = appliedOrders.toList())
}

/**
 * A change of the models or the role of an engine.
 *
 * @property target the model, adapter or version to load or unload, or the role to assume
 */
@Serializable
internal data class EngineOrder(val kind: OrderKind, val target: String, val fencingToken: Long)

/** The kind of change that an order makes. */
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
