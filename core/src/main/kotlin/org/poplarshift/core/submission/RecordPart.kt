package org.poplarshift.core.submission

/**
 * A log record that holds one part of a submission record: its [key], its [offset] and the length of its value.
 *
 * @property isSeparate whether it is in the topic of contents, which nodes read only where they need a content
 */
class RecordPart(val key: String, val offset: Long, val bytes: Int, val isSeparate: Boolean = false)
