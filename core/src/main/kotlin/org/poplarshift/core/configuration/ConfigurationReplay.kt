package org.poplarshift.core.configuration

import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot

/**
 * Builds the configuration from the stream `configuration`, even if retention has deleted the first records.
 *
 * A reader that starts after offset 0 can't apply a record before it has a snapshot or the configuration of a peer: the
 * record may depend on a deleted one. Such records are deferred until then. This class is not thread-safe.
 */
class ConfigurationReplay(private val reducer: ConfigurationReducer = ConfigurationReducer()) {
    private val deferred = mutableListOf<OffsetRecord>()

    /** The current configuration; [Configuration.catalogue] is null before the first catalogue. */
    var configuration = Configuration()
        private set

    /** The offset of the newest snapshot or, without one, of the first record; null before the first record. */
    var baseOffset: Long? = null
        private set

    /** Applies the record at [offset]. Returns null if the record is deferred. */
    fun apply(offset: Long, record: ConfigurationRecord): ConfigurationResult? {
        if (baseOffset == null && offset == FIRST_OFFSET) baseOffset = offset
        if (record is ConfigurationSnapshot) return applySnapshot(offset, record)
        if (!hasBase()) {
            deferred += OffsetRecord(offset, record)
            return null
        }
        return install(reducer.apply(configuration, offset, record))
    }

    /** Replaces the configuration with that of a peer if it is newer. */
    fun adopt(other: Configuration): ConfigurationResult {
        val result = install(reducer.adopt(configuration, other))
        if (result is ConfigurationResult.Applied) applyDeferred()
        return result
    }

    private fun hasBase(): Boolean = baseOffset != null || configuration.catalogue != null

    private fun applySnapshot(offset: Long, record: ConfigurationSnapshot): ConfigurationResult {
        val result = install(reducer.apply(configuration, offset, record))
        baseOffset = offset
        applyDeferred()
        return result
    }

    private fun applyDeferred() {
        deferred.forEach { install(reducer.apply(configuration, it.offset, it.record)) }
        deferred.clear()
    }

    private fun install(result: ConfigurationResult): ConfigurationResult {
        if (result is ConfigurationResult.Applied) configuration = result.configuration
        return result
    }

    private data class OffsetRecord(val offset: Long, val record: ConfigurationRecord)

    private companion object {
        const val FIRST_OFFSET = 0L
    }
}
