package org.poplarshift.verification.fleet

import org.poplarshift.core.ownership.OwnershipRecord

/** The stream `ownership` of the simulated platform. */
class SimulatedLog {
    private val records = mutableListOf<OwnershipRecord>()

    /** Appends [record]. */
    fun append(record: OwnershipRecord) {
        records += record
    }

    /** All records from [fromOffset] on. */
    fun readFrom(fromOffset: Long): List<OwnershipRecord> =
        records.subList(fromOffset.toInt().coerceAtMost(records.size), records.size).toList()
}
