package org.poplarshift.core.dispatch

/**
 * Which batch items run first when there are more than slots.
 *
 * An item that can't be on time any more has lost most of its worth to its caller. It goes after all that still can, which
 * otherwise would become late one after the other behind it.
 */
object BatchOrdering {
    /** Orders items by [untilDueMillis] (negative when overdue), the first to run first. */
    fun <T> sort(items: List<T>, untilDueMillis: (T) -> Long): List<T> =
        items.sortedWith(compareBy({ untilDueMillis(it) < TYPICAL_RUN_MILLIS }, { untilDueMillis(it) }))

    // The mean of the standard days is 4.2 to 4.8 s for an item that begins; one that goes on needs less.
    private const val TYPICAL_RUN_MILLIS = 4_000L
}
