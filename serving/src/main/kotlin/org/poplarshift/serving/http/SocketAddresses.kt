package org.poplarshift.serving.http

import io.vertx.core.net.SocketAddress

/** Turns addresses of the settings and the catalogue into those of Vert.x. */
object SocketAddresses {
    /** Splits [address], an IP number (IPv6 in brackets) and a port. */
    fun parse(address: String): SocketAddress {
        val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
        val port = address.substringAfterLast(':').toInt()
        return SocketAddress.inetSocketAddress(port, host)
    }
}
