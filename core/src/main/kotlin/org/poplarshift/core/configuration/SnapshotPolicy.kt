package org.poplarshift.core.configuration

/**
 * Decides when a node appends a snapshot of the configuration, so that retention never drops the last copy.
 *
 * @property maximumAgeMillis age of the newest snapshot; a quarter of the log's retention leaves three more tries
 * @property maximumRecords records after the newest snapshot, which bound the time of a restart
 */
data class SnapshotPolicy(val maximumAgeMillis: Long, val maximumRecords: Long = 500) {
    /**
     * Whether a snapshot is due.
     *
     * @param baseOffset offset of the newest snapshot or, without one, of the first record
     * @param baseAgeMillis time since this node read the record at [baseOffset]
     * @param nextOffset the offset after the newest record
     */
    fun isDue(baseOffset: Long, baseAgeMillis: Long, nextOffset: Long): Boolean =
        baseAgeMillis >= maximumAgeMillis || nextOffset - baseOffset - 1 > maximumRecords
}
