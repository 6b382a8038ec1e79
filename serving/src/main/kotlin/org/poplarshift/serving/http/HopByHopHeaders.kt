package org.poplarshift.serving.http

import io.vertx.core.MultiMap

/** Removes hop-by-hop header fields, which apply to a single connection only (RFC 9110, section 7.6.1). */
object HopByHopHeaders {
    /**
     * Returns [headers] without hop-by-hop fields, the fields listed in `Connection`, and [additionalNames].
     *
     * @param additionalNames names in lower case
     */
    fun remove(headers: MultiMap, additionalNames: Set<String>): MultiMap {
        val connectionOptions = headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        val removedNames = HOP_BY_HOP_NAMES + connectionOptions + additionalNames
        val remaining = MultiMap.caseInsensitiveMultiMap()
        for ((name, value) in headers) {
            if (name.lowercase() !in removedNames) remaining.add(name, value)
        }
        return remaining
    }

    private val HOP_BY_HOP_NAMES = setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
}
