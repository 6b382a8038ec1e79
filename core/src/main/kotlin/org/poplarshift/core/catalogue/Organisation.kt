package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * An organisation that sends requests, with its limits across all VMs.
 *
 * @property owner the person or team that is responsible for the entry
 * @property ratePerSecond the sustained number of requests per second
 * @property burst the number of requests that may arrive at once
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
