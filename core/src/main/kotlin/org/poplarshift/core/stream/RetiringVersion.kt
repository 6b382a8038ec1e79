package org.poplarshift.core.stream

/**
 * A version whose record is about to be removed.
 *
 * @property offset offset of the record that marks the version as retiring
 * @property sinceMillis monotonic time in milliseconds at which this node has read that record
 */
data class RetiringVersion(val origin: StreamOrigin, val offset: Long, val sinceMillis: Long)
