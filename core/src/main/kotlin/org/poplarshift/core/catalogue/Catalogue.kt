package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * The settings that operators manage, as one document. A catalogue is published as a whole, so that a node never uses a
 * mix of two versions. [CatalogueValidator] checks the rules that a catalogue must meet.
 */
@Serializable
data class Catalogue(
    val zones: List<AvailabilityZone>,
    val organisations: List<Organisation>,
    val upstreams: List<Upstream>,
    val routes: List<Route> = emptyList(),
    val batch: BatchPolicy = BatchPolicy(),
    val retention: RetentionPolicy = RetentionPolicy(),
) {
    /** The number of slots in all availability zones. An organisation's rate and burst are split evenly among them. */
    val slotCount: Int
        get() = zones.sumOf { it.slots }

    /** Returns the organisation with the identifier [id], or null. */
    fun organisation(id: String): Organisation? = organisations.firstOrNull { it.id == id }

    /** Returns the upstream with the identifier [id], or null. */
    fun upstream(id: String): Upstream? = upstreams.firstOrNull { it.id == id }

    /** Returns the upstream that serves [model], or null. */
    fun upstreamOfModel(model: String): Upstream? = upstreams.firstOrNull { model in it.models }
}
