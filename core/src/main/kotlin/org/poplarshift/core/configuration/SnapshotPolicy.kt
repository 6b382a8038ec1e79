package org.poplarshift.core.configuration

/**
 * Decides when a node appends a snapshot of the configuration, so that retention never deletes the last copy.
 *
 * @property maximumAgeMillis the age of the newest snapshot at which the next is due, in milliseconds; a quarter of the
 *   log's retention leaves time for three more attempts
 * @property maximumRecords the number of records after the newest snapshot, which bounds the time of a restart
 */
data class SnapshotPolicy(val maximumAgeMillis: Long, val maximumRecords: Long = 500) {
    /**
     * Whether a snapshot is due.
     *
     * @param baseOffset the offset of the newest snapshot or, without one, of the first record
     * @param baseAgeMillis the time since this node read the record at [baseOffset], in milliseconds
     * @param nextOffset the offset after the newest record
     */
    fun isDue(baseOffset: Long, baseAgeMillis: Long, nextOffset: Long): Boolean =
        baseAgeMillis >= maximumAgeMillis || nextOffset - baseOffset - 1 > maximumRecords
}
