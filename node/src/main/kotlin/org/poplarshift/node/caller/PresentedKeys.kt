package org.poplarshift.node.caller

import io.vertx.core.MultiMap

/** Reads callers' keys from request headers. */
object PresentedKeys {
    /** Returns the keys in `Authorization: Bearer` and `X-Api-Key`, in this order. The first is authenticated. */
    fun read(headers: MultiMap): List<String> {
        val bearers = headers.getAll("Authorization").filter { it.startsWith(BEARER, ignoreCase = true) }
        val keys = bearers.map { it.substring(BEARER.length) } + headers.getAll("X-Api-Key")
        return keys.map { it.trim() }.filter { it.isNotEmpty() }
    }

    private const val BEARER = "Bearer "
}
