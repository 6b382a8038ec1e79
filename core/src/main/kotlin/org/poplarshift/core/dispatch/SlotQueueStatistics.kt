package org.poplarshift.core.dispatch

/**
 * Figures about the requests that wait for slots of one service.
 *
 * @property flows number of organisations with waiting requests, counted for each use and priority
 * @property longestWaitMillis time for which the oldest of them has waited
 * @property refusals number of requests refused so far because they could not get a slot in time
 */
data class SlotQueueStatistics(val flows: Int, val longestWaitMillis: Long, val refusals: Long)
