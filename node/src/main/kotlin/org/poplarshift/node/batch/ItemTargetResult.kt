package org.poplarshift.node.batch

/** The result of resolving the target of an item. */
sealed interface ItemTargetResult {
    /** The item runs at [target]. */
    data class Found(val target: ItemTarget) : ItemTargetResult

    /** The item is invalid; [message] names the field. */
    data class Invalid(val message: String) : ItemTargetResult

    /** The organisation is not allowed to run the item. */
    data class Forbidden(val message: String) : ItemTargetResult
}
