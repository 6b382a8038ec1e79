package org.poplarshift.standins.link

import kotlinx.serialization.Serializable

/**
 * Settings of one link: a TCP relay in front of a listener.
 *
 * @property port the port to listen on; 0 picks a free port
 * @property controlPort the port of `PUT /faults`; 0 picks a free port
 * @property target IP address and port to which connections are forwarded
 */
@Serializable
data class LinkSettings(
    val name: String,
    val target: String,
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
    val faults: LinkFaults = LinkFaults(),
)
