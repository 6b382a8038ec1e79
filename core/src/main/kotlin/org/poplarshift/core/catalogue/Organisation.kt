package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A tenant with its limits over all VMs together.
 *
 * @property owner the person or team that answers for the entry
 * @property ratePerSecond requests a second in the long run
 * @property burst requests that may come at once
 * @property weight the share of contended capacity, relative to other organisations
 */
@Serializable
data class Organisation(
    val id: String,
    val owner: String,
    val ratePerSecond: Double,
    val burst: Double,
    val weight: Double = 1.0,
    val organisationClass: OrganisationClass = OrganisationClass.STANDARD,
)
