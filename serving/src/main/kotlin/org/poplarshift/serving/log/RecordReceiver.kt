package org.poplarshift.serving.log

/** Receives the records of one partition. */
interface RecordReceiver {
    /** Called before the newest record of each key is delivered, as if no record had been received before. */
    fun onRestart()

    /**
     * Returns what [onRecord] needs of [record].
     *
     * Called for the newest record of each key when its page has been read. All pages are held until the last one has
     * been read, because the records must be delivered in the order of their offsets.
     */
    fun shorten(record: LogRecord): LogRecord = record

    /** Called for each record, in the order of the offsets. */
    fun onRecord(record: LogRecord)

    /** Called when all records up to the end of the log at the time of the read have been delivered. */
    fun onCaughtUp() = Unit
}
