package org.poplarshift.standins.link

import kotlinx.serialization.Serializable

/**
 * How a link behaves. `PUT /faults` on its control port replaces the whole; fields left out take their defaults.
 *
 * @property delayMillis one-way delay
 * @property isSilent whether all bytes vanish, on established and new connections
 * @property silentSources IP numbers, or beginnings of them, whose bytes vanish in both directions
 * @property isRefusing whether new connections are closed at once
 * @property cutEstablished whether all connections that exist now are closed
 */
@Serializable
data class LinkFaults(
    val delayMillis: Long = 0,
    val isSilent: Boolean = false,
    val silentSources: List<String> = emptyList(),
    val isRefusing: Boolean = false,
    val cutEstablished: Boolean = false,
)
