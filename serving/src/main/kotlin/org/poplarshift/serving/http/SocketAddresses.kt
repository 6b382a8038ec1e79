package org.poplarshift.serving.http

import io.vertx.core.net.SocketAddress

/** Converts addresses of the settings and the catalogue to socket addresses of Vert.x. */
object SocketAddresses {
    /** Parses [address], which consists of an IP address (IPv6 in brackets) and a port. */
    fun parse(address: String): SocketAddress {
        val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
        val port = address.substringAfterLast(':').toInt()
        return SocketAddress.inetSocketAddress(port, host)
    }
}
