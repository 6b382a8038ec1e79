package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * Where a part of a job's results is in the log.
 *
 * @property offset of the record [BatchRecord.ResultsRecorded]
 * @property first how many valid results of the job precede the part
 * @property dropped positions within the record whose results were not the first of their items
 */
@Serializable
data class SegmentReference(val offset: Long, val first: Int, val dropped: List<Int> = emptyList())
