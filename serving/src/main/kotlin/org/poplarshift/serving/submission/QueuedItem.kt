package org.poplarshift.serving.submission

/**
 * An item that could run now.
 *
 * @property untilDueMillis milliseconds until its result is due, negative when it is overdue
 * @property isTimeUp whether the item is given up, for which it needs no worker
 */
class QueuedItem<T>(val item: T, val account: RunAccount, val untilDueMillis: Long, val isTimeUp: Boolean = false)
