package org.poplarshift.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.catalogue.Catalogue

/**
 * A record of the log stream `configuration`. A version is the offset of an applied record.
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

    /** Issues a key to an organisation. Only the SHA-256 hash of the key, in hexadecimal digits, is stored. */
    @Serializable
    @SerialName("keyGiven")
    data class KeyIssued(val keyId: String, val organisation: String, val sha256: String) : ConfigurationRecord

    /** Withdraws a key permanently. */
    @Serializable
    @SerialName("keyWithdrawn")
    data class KeyWithdrawn(val keyId: String) : ConfigurationRecord

    /** The complete configuration at a version, appended so that it outlives the retention of the log. */
    @Serializable
    @SerialName("configurationSnapshot")
    data class ConfigurationSnapshot(val configuration: Configuration) : ConfigurationRecord

    companion object {
        /** The version before the first record. */
        const val NO_VERSION = -1L
    }
}
