package org.poplarshift.standins.link

import kotlinx.serialization.Serializable

/**
 * The faults of a link. `PUT /faults` on its control port replaces all fields; omitted fields are reset to defaults.
 *
 * @property delayMillis delay in each direction
 * @property isSilent whether all bytes are dropped, on open and new connections
 * @property silentSources IP addresses or address prefixes whose bytes are dropped in both directions
 * @property isRefusing whether new connections are closed immediately
 * @property cutEstablished whether all open connections are closed
 */
@Serializable
data class LinkFaults(
    val delayMillis: Long = 0,
    val isSilent: Boolean = false,
    val silentSources: List<String> = emptyList(),
    val isRefusing: Boolean = false,
    val cutEstablished: Boolean = false,
)
