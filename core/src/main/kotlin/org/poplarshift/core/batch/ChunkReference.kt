package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * The log position of a part of a job's items.
 *
 * @property offset the offset of the record [BatchRecord.ItemsUploaded]
 * @property first the index of the first item of the part
 */
@Serializable
data class ChunkReference(val offset: Long, val first: Int)
