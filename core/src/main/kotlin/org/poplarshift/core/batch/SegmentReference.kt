package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * The log position of a part of a job's results.
 *
 * @property offset the offset of the record [BatchRecord.ResultsRecorded]
 * @property first the number of valid results of the job before this part
 * @property dropped the positions within the record of discarded results, which are not valid first results of an item
 */
@Serializable
data class SegmentReference(val offset: Long, val first: Int, val dropped: List<Int> = emptyList())
