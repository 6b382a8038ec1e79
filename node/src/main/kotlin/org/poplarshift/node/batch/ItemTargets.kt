package org.poplarshift.node.batch

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.RouteTable
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.node.batch.ItemTargetResult.Forbidden
import org.poplarshift.node.batch.ItemTargetResult.Found
import org.poplarshift.node.batch.ItemTargetResult.Invalid
import org.poplarshift.node.caller.CompletionParser
import org.poplarshift.node.caller.CompletionResult
import org.poplarshift.node.caller.Digests

/** Resolves the upstream of an item by the same rules as for online requests. */
class ItemTargets(private val parser: CompletionParser = CompletionParser()) {
    private var table: Pair<Catalogue, RouteTable>? = null

    /** Resolves the target of an item of [organisation] with [body] and the optional [path] from the upload. */
    fun find(catalogue: Catalogue, organisation: String, path: String?, body: JsonElement): ItemTargetResult = when {
        path == null || path in MODEL_PATHS -> completion(catalogue, organisation, path ?: modelPath(body), body)
        else -> service(catalogue, organisation, path, body)
    }

    private fun modelPath(body: JsonElement): String =
        if (body is JsonObject && "messages" in body) CHAT_PATH else COMPLETION_PATH

    private fun completion(
        catalogue: Catalogue,
        organisation: String,
        path: String,
        body: JsonElement,
    ): ItemTargetResult {
        val completion = when (val parsed = parser.parse(body.toString(), path == CHAT_PATH)) {
            is CompletionResult.Invalid -> return Invalid("body.${parsed.path} must be ${parsed.expected}")
            is CompletionResult.Valid -> parsed
        }
        val upstream = catalogue.upstreamOfModel(completion.model)
            ?: return Invalid("body.model must be one of those that GET /v1/models lists")
        if (!upstream.isOpenTo(organisation)) return Forbidden("the organisation may not use this model")
        val fingerprint = Digests.sha256(organisation, completion.canonicalBody)
        return Found(ItemTarget(upstream, path, isIdempotent = true, completion.costTokens, fingerprint))
    }

    private fun service(catalogue: Catalogue, organisation: String, path: String, body: JsonElement): ItemTargetResult {
        val plainPath = path.substringBefore('?')
        if (!RouteTable.isUnambiguous(plainPath)) return Invalid("path must have no dot segments or encoded separators")
        val route = tableOf(catalogue).match("POST", plainPath) ?: return Invalid("path must match a POST route")
        val upstream: Upstream =
            checkNotNull(catalogue.upstream(route.upstream)) { "route ${route.id} has no upstream" }
        val isPermitted = route.organisations.isEmpty() || organisation in route.organisations
        if (!isPermitted ||
            !upstream.isOpenTo(organisation)
        ) {
            return Forbidden("the organisation may not use this route")
        }
        val fingerprint = Digests.sha256(organisation, "POST", path, body.toString())
        return Found(ItemTarget(upstream, path, route.idempotent, costTokens = 1, fingerprint))
    }

    private fun tableOf(catalogue: Catalogue): RouteTable {
        val known = table
        if (known != null && known.first === catalogue) return known.second
        return RouteTable(catalogue.routes).also { table = catalogue to it }
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val COMPLETION_PATH = "/v1/completions"
        val MODEL_PATHS = setOf(CHAT_PATH, COMPLETION_PATH)
    }
}
