package org.poplarshift.node.batch

/** Whether an item may be sent. */
enum class StartResult {
    /** The start of this holder is the first in the log. */
    Started,

    /** Another holder, or this one before it lost the slot, started the item first and may have sent it. */
    StartedBefore,

    /** The item has a result or its job was cancelled. */
    Ended,

    /** The start could not be recorded or read back. */
    LogUnavailable,
}
