package org.poplarshift.core.ownership

import kotlinx.serialization.Serializable

/**
 * A numbered unit of ownership of an availability zone, held by one VM at a time.
 *
 * @property index from 0 until the zone's number of slots
 */
@Serializable
data class Slot(val availabilityZone: String, val index: Int) {
    override fun toString(): String = "$availabilityZone/$index"
}
