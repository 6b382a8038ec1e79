package org.poplarshift.core.configuration

import org.poplarshift.core.catalogue.CatalogueValidator
import org.poplarshift.core.configuration.ConfigurationRecord.CataloguePublished
import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot
import org.poplarshift.core.configuration.ConfigurationRecord.KeyIssued
import org.poplarshift.core.configuration.ConfigurationRecord.KeyWithdrawn
import org.poplarshift.core.configuration.ConfigurationResult.AlreadyApplied
import org.poplarshift.core.configuration.ConfigurationResult.Applied
import org.poplarshift.core.configuration.ConfigurationResult.Invalid
import org.poplarshift.core.configuration.ConfigurationResult.KeyRefused
import org.poplarshift.core.configuration.ConfigurationResult.Superseded

/**
 * Applies records of the stream `configuration` in the order of their offsets.
 *
 * The result depends only on the records, so that all nodes accept or reject the same records. A record that is not
 * newer than the current version changes nothing, so that a configuration never reverts.
 */
class ConfigurationReducer(private val validator: CatalogueValidator = CatalogueValidator()) {
    /** Applies the record at [offset] to [configuration]. */
    fun apply(configuration: Configuration, offset: Long, record: ConfigurationRecord): ConfigurationResult {
        if (offset <= configuration.version) return AlreadyApplied
        return when (record) {
            is CataloguePublished -> publish(configuration, offset, record)
            is KeyIssued -> issue(configuration, offset, record)
            is KeyWithdrawn -> withdraw(configuration, offset, record)
            is ConfigurationSnapshot -> adopt(configuration, record.configuration)
        }
    }

    /** Replaces [configuration] with [other], the configuration of a peer or a snapshot, if [other] is newer. */
    fun adopt(configuration: Configuration, other: Configuration): ConfigurationResult =
        if (other.version > configuration.version) Applied(other) else AlreadyApplied

    private fun publish(configuration: Configuration, offset: Long, record: CataloguePublished): ConfigurationResult {
        if (record.basedOn != configuration.catalogueVersion) return Superseded(configuration.catalogueVersion)
        val problems = validator.validate(record.catalogue, configuration.catalogue)
        if (problems.isNotEmpty()) return Invalid(problems)
        return Applied(
            configuration.copy(version = offset, catalogueVersion = offset, catalogue = record.catalogue),
        )
    }

    private fun issue(configuration: Configuration, offset: Long, record: KeyIssued): ConfigurationResult {
        val isKnown = record.keyId in configuration.withdrawn || configuration.keys.any { it.keyId == record.keyId }
        val hasOrganisation = configuration.catalogue?.organisation(record.organisation) != null
        if (isKnown || !hasOrganisation) return KeyRefused(record.keyId)
        val entry = KeyEntry(keyId = record.keyId, organisation = record.organisation, sha256 = record.sha256)
        return Applied(configuration.copy(version = offset, keys = configuration.keys + entry))
    }

    private fun withdraw(configuration: Configuration, offset: Long, record: KeyWithdrawn): ConfigurationResult =
        Applied(
            configuration.copy(
                version = offset,
                keys = configuration.keys.filterNot { it.keyId == record.keyId },
                withdrawn = configuration.withdrawn + record.keyId,
            ),
        )
}
