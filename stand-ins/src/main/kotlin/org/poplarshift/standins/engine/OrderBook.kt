package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.monotonicMillis

/** The state that orders set: loaded models and the role. Keeps the orders that were carried out. */
internal class OrderBook(private val settings: EngineSettings) {
    private val readyMillis = settings.models.associateWith { 0L }.toMutableMap()
    private val applied = mutableListOf<EngineOrder>()
    private var highestToken = Long.MIN_VALUE
    private var role = "mixed"

    /** Carries out [order]; returns false when its fencing token is older than one seen before. */
    fun apply(order: EngineOrder): Boolean {
        if (settings.honoursFencing && order.fencingToken < highestToken) return false
        highestToken = maxOf(highestToken, order.fencingToken)
        applied += order
        when (order.kind) {
            OrderKind.LOAD -> readyMillis.getOrPut(order.target) { monotonicMillis() + settings.modelLoadMillis }
            OrderKind.UNLOAD -> readyMillis.remove(order.target)
            OrderKind.ROLE -> role = order.target
        }
        return true
    }

    /** Whether requests for [model] run now. */
    fun serves(model: String): Boolean =
        settings.models.isEmpty() || (readyMillis[model] ?: Long.MAX_VALUE) <= monotonicMillis()

    /** The state and the orders that led to it. */
    fun report() = OrdersBody(loaded = readyMillis.keys.sorted(), role = role, applied = applied.toList())
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
