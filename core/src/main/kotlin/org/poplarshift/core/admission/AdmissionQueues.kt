package org.poplarshift.core.admission

/** The online queue and the batch queue of one upstream. Batch items are dispatched only if no online request waits. */
class AdmissionQueues<T>(onlineLength: Int, batchLength: Int) {
    /** Online requests that wait for a worker with room. */
    val online = FairQueue<T>(onlineLength)

    /** Batch items that are ready to run. */
    val batch = FairQueue<T>(batchLength)

    /** Like [FairQueue.poll] of [online]. */
    fun pollOnline(take: (QueuedRequest<T>) -> TakeResult): QueuedRequest<T>? = online.poll(take)

    /** Like [FairQueue.poll] of [batch], but returns null while an online request waits. */
    fun pollBatch(take: (QueuedRequest<T>) -> TakeResult): QueuedRequest<T>? =
        if (online.size > 0) null else batch.poll(take)
}
