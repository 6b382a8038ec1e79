package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * Settings for the replication of the configuration to a node.
 *
 * @property staleLimitSeconds the maximum time since the configuration was last confirmed as current, after which the
 * node refuses keys; 0 means no limit, so that a partitioned availability zone continues to serve
 */
@Serializable
data class ConfigurationSettings(val staleLimitSeconds: Long = 0) {
    /**
     * The maximum time for which a read of the configuration stream waits for a record. The age of the configuration
     * is measured from the start of the newest complete read, so the wait must be well below the limit.
     */
    val readWaitMillis: Long
        get() {
            if (staleLimitSeconds == 0L) return MAXIMUM_READ_WAIT_MILLIS
            return minOf(MAXIMUM_READ_WAIT_MILLIS, staleLimitSeconds * MILLIS_PER_SECOND / READS_WITHIN_LIMIT)
        }

    private companion object {
        const val MAXIMUM_READ_WAIT_MILLIS = 5_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val READS_WITHIN_LIMIT = 5
    }
}
