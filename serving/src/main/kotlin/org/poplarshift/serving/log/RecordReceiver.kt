package org.poplarshift.serving.log

/** Takes the records of one partition. */
interface RecordReceiver {
    /** The newest records follow, as if nothing had been received before. */
    fun onRestart()

    /** Takes a record; called in the order of offsets. */
    fun onRecord(record: LogRecord)

    /** All records that the log had when it answered were passed on. */
    fun onCaughtUp() = Unit
}
