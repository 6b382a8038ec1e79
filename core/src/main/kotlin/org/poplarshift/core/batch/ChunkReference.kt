package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * Where a part of a job's items is in the log.
 *
 * @property offset of the record [BatchRecord.ItemsUploaded]
 * @property first the index of the part's first item
 */
@Serializable
data class ChunkReference(val offset: Long, val first: Int)
