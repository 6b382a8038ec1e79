package org.poplarshift.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.catalogue.Catalogue

/**
 * A record of the log stream `configuration`. The offset of a record that was applied is a version.
 */
@Serializable
sealed interface ConfigurationRecord {
    /**
     * Replaces the catalogue.
     *
     * @property basedOn the version of the catalogue that the operator edited, or [NO_VERSION] for the first
     */
    @Serializable
    @SerialName("cataloguePublished")
    data class CataloguePublished(val basedOn: Long, val catalogue: Catalogue) : ConfigurationRecord

    /** Gives a key, of which only the SHA-256 hash in hexadecimal digits is kept, to an organisation. */
    @Serializable
    @SerialName("keyGiven")
    data class KeyIssued(val keyId: String, val organisation: String, val sha256: String) : ConfigurationRecord

    /** Withdraws a key for good. */
    @Serializable
    @SerialName("keyWithdrawn")
    data class KeyWithdrawn(val keyId: String) : ConfigurationRecord

    /** The whole configuration at a version, appended so that the log's retention never loses it. */
    @Serializable
    @SerialName("configurationSnapshot")
    data class ConfigurationSnapshot(val configuration: Configuration) : ConfigurationRecord

    companion object {
        /** Stands for the version before the first record. */
        const val NO_VERSION = -1L
    }
}
