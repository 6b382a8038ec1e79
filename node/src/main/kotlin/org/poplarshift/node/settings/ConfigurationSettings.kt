package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * How a node keeps its configuration.
 *
 * @property staleLimitSeconds the node refuses keys once its configuration was last known to be current this long ago;
 * 0 means no limit, so that a partitioned availability zone continues to serve
 */
@Serializable
data class ConfigurationSettings(val staleLimitSeconds: Long = 0) {
    /**
     * How long a read of the configuration stream may wait for a record. The age of the configuration counts from the
     * start of the newest complete read, so that the wait must be well within the limit.
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
