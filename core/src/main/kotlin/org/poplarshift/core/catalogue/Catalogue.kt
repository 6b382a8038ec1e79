package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Everything that operators decide, as one document. It is published as a whole, so that a node never sees a mix of
 * two versions. [CatalogueValidator] gives the rules that a catalogue must meet.
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
    /** The number of slots over all availability zones; an organisation's rate and burst are split evenly over them. */
    val slotCount: Int
        get() = zones.sumOf { it.slots }

    /** The organisation with the identifier [id], or null. */
    fun organisation(id: String): Organisation? = organisations.firstOrNull { it.id == id }

    /** The upstream with the identifier [id], or null. */
    fun upstream(id: String): Upstream? = upstreams.firstOrNull { it.id == id }

    /** The upstream that serves [model], or null. */
    fun upstreamOfModel(model: String): Upstream? = upstreams.firstOrNull { model in it.models }
}
