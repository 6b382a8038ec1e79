package org.poplarshift.verification.client

import org.poplarshift.standins.PlatformHeaders
import org.poplarshift.standins.caller.CallerUris
import org.poplarshift.verification.soak.SoakOrganisations

/** A port and a path of a node, and the key that clients send, or null. */
data class ClientTarget(val port: Port, val method: String, val path: String, val key: String? = null) {
    /** The ports of a node. */
    enum class Port { CALLERS, READINESS, PEERS }

    /** The head of a request with [fields] in addition to the usual ones. */
    fun head(vararg fields: String): ByteArray = buildString {
        append("$method $path HTTP/1.1\r\nHost: ${SoakOrganisations.HOST}\r\n")
        if (key != null) append("${PlatformHeaders.KEY}: $key\r\n")
        if (fields.none { it.startsWith(REQUEST_ID) }) append("$REQUEST_ID: misbehaving\r\n")
        fields.forEach { append("$it\r\n") }
        append("\r\n")
    }.encodeToByteArray()

    companion object {
        /** Name of the field with the id of a request. */
        const val REQUEST_ID = PlatformHeaders.REQUEST_ID

        val ROUTE = ClientTarget(Port.CALLERS, "POST", "/safe/x", SoakOrganisations.LASTING_KEY)
        val ROUTE_WITHOUT_KEY = ClientTarget(Port.CALLERS, "POST", "/safe/x")
        val STREAM = ClientTarget(Port.CALLERS, "POST", "/stream/x", SoakOrganisations.LASTING_KEY)
        val BATCH = ClientTarget(Port.CALLERS, "POST", "/batch/x", SoakOrganisations.LASTING_KEY)
        val NO_ROUTE = ClientTarget(Port.CALLERS, "POST", "/nowhere/x", SoakOrganisations.LASTING_KEY)
        val READINESS_PATH = ClientTarget(Port.CALLERS, "GET", CallerUris.READINESS)
        val RESULTS =
            ClientTarget(Port.CALLERS, "GET", CallerUris.results("s", after = 0), SoakOrganisations.LASTING_KEY)
        val READINESS = ClientTarget(Port.READINESS, "GET", CallerUris.READINESS)
        val PEERS = ClientTarget(Port.PEERS, "POST", "/log")
    }
}
