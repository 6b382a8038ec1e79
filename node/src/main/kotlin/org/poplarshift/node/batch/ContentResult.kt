package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem

/** The outcome of checking a line of an upload. */
sealed interface ContentResult {
    data class Item(val item: BatchItem) : ContentResult

    /** The line is malformed or violates a validation rule. */
    data class Invalid(val message: String) : ContentResult

    /** The organisation is not allowed to run the item. */
    data class Forbidden(val message: String) : ContentResult

    /** The job has too many items. */
    data class TooMany(val message: String) : ContentResult
}
