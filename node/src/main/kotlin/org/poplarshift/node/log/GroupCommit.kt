package org.poplarshift.node.log

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Combines records into shared appends: records that are submitted while an append is in progress form the next group.
 * Not thread-safe.
 *
 * @param commit appends a group
 */
class GroupCommit<Entry>(
    private val scope: CoroutineScope,
    private val maximumEntries: Int = 100,
    private val commit: suspend (List<Entry>) -> WriteResult,
) {
    private class PendingEntry<Entry>(val entry: Entry, val result: CompletableDeferred<WriteResult>)

    private val queue = ArrayDeque<PendingEntry<Entry>>()
    private var isCommitting = false

    /** Adds [entry] to the next group and suspends until the result of its append is known. */
    suspend fun submit(entry: Entry): WriteResult {
        val pendingEntry = PendingEntry(entry, CompletableDeferred())
        queue += pendingEntry
        if (!isCommitting) scope.launch { commitAll() }
        return pendingEntry.result.await()
    }

    private suspend fun commitAll() {
        if (isCommitting) return
        isCommitting = true
        try {
            while (queue.isNotEmpty()) commitNext()
        } finally {
            isCommitting = false
        }
    }

    private suspend fun commitNext() {
        val group = List(minOf(queue.size, maximumEntries)) { queue.removeFirst() }
        val result = try {
            commit(group.map { it.entry })
        } catch (exception: Exception) {
            group.forEach { it.result.completeExceptionally(exception) }
            throw exception
        }
        group.forEach { it.result.complete(result) }
    }
}
