package org.poplarshift.node.batch

/** Whether an item can be run at all. */
sealed interface ItemTargetResult {
    /** The item runs at [target]. */
    data class Found(val target: ItemTarget) : ItemTargetResult

    /** The item breaks a rule; [message] names the field. */
    data class Invalid(val message: String) : ItemTargetResult

    /** The organisation may not run it. */
    data class Forbidden(val message: String) : ItemTargetResult
}
