package org.poplarshift.verification.fleet

import org.poplarshift.core.ownership.OwnershipRecord

/** An in-memory log with the stream `ownership`. */
class SimulatedLog {
    private val records = mutableListOf<OwnershipRecord>()

    fun append(record: OwnershipRecord) {
        records += record
    }

    /** Returns all records from [fromOffset] onwards. */
    fun readFrom(fromOffset: Long): List<OwnershipRecord> =
        records.subList(fromOffset.toInt().coerceAtMost(records.size), records.size).toList()
}
