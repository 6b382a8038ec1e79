package org.poplarshift.core.configuration

import kotlinx.serialization.Serializable
import org.poplarshift.core.catalogue.Catalogue

/**
 * The configuration at one version.
 *
 * @property version the offset of the last record that changed it
 * @property catalogueVersion the offset of the record that published [catalogue]
 * @property withdrawn the identifiers of withdrawn keys, kept so that an identifier is not issued again
 */
@Serializable
data class Configuration(
    val version: Long = ConfigurationRecord.NO_VERSION,
    val catalogueVersion: Long = ConfigurationRecord.NO_VERSION,
    val catalogue: Catalogue? = null,
    val keys: List<KeyEntry> = emptyList(),
    val withdrawn: Set<String> = emptySet(),
)
