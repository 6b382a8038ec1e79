package org.poplarshift.serving.scheduling

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.PromptPart
import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.RouteExplanation
import org.poplarshift.core.dispatch.SlotKey
import org.poplarshift.core.dispatch.SlotRequest
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.serving.MonotonicClock

/**
 * Explains where a request would go now, without sending it.
 *
 * @param schedulers returns the workers of each scheduler that runs at this node by the service
 * @param preferred returns the name of the node that runs the schedulers of this zone, or null
 */
class RouteExplainer(
    private val node: String,
    private val clock: MonotonicClock,
    private val schedulers: () -> Map<String, LoadBalancer>,
    private val preferred: () -> String?,
) {
    /** Returns the explanation in JSON for the request that the query of [uri] describes. Malformed values count as absent. */
    fun explain(uri: String): String {
        val query = QueryStringDecoder(uri).parameters()
        val service = query["service"]?.firstOrNull().orEmpty()
        val scheduler = preferred()
        val workers = schedulers()[service]?.takeIf { scheduler == node }
        val explanation = if (workers == null) {
            RouteExplanation(node, service, scheduler)
        } else {
            workers.explain(node, service, request(query), clock.millis())
        }
        return Json.encodeToString(RouteExplanation.serializer(), explanation)
    }

    private fun request(query: Map<String, List<String>>): SlotRequest {
        val now = clock.millis()
        val use = if (query["batch"]?.firstOrNull() == "true") SlotUse.BATCH else SlotUse.ONLINE
        val key = SlotKey(node, NO_NUMBER)
        return SlotRequest(key, use, 0, now, route = query["route"]?.firstOrNull(), size = size(query))
    }

    private fun size(query: Map<String, List<String>>): RequestSize? {
        fun tokens(name: String) = query[name]?.firstOrNull()?.toIntOrNull()?.takeIf { it in 0..MAXIMUM_TOKENS }
        val parts = query["part"].orEmpty().take(MAXIMUM_PARTS).mapNotNull { part ->
            part.substringAfterLast(':').toIntOrNull()?.let {
                PromptPart(part.substringBeforeLast(':').lowercase(), it)
            }
        }
        return RequestSize(
            promptTokens = tokens("prompt") ?: return null,
            maximumOutputTokens = tokens("maximum") ?: return null,
            expectedOutputTokens = tokens("expected"),
            parts = parts,
        )
    }

    companion object {
        /** Path on the metrics address. */
        const val PATH = "/explain-route"

        // No request for a slot has this number.
        private const val NO_NUMBER = -1L
        private const val MAXIMUM_TOKENS = 10_000_000
        private const val MAXIMUM_PARTS = 16
    }
}
