package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A group of VMs and upstream workers that can be disconnected from the rest together.
 *
 * @property slots the number of ownership slots, at least 1
 */
@Serializable
data class AvailabilityZone(val name: String, val region: String, val slots: Int = 3)
