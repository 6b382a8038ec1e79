package org.poplarshift.node.log

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/**
 * Lets many records share an append: while one append is under way, the records that come in wait and form the next
 * group. Used on one thread only.
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

    /** Adds [entry] to the next group and waits for the outcome of its append. */
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
