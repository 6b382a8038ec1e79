package org.poplarshift.core.submission

/** A log record that holds one part of a submission record: its [key], its [offset] and the length of its value. */
class RecordPart(val key: String, val offset: Long, val bytes: Int)
