package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem

/** The outcome of checking a line of an upload. */
sealed interface ContentResult {
    data class Item(val item: BatchItem) : ContentResult

    /** The line breaks a rule of form. */
    data class Invalid(val message: String) : ContentResult

    /** The organisation may not run the item. */
    data class Forbidden(val message: String) : ContentResult

    /** The job has too many items. */
    data class TooMany(val message: String) : ContentResult
}
