package org.poplarshift.serving.submission

import org.poplarshift.core.dispatch.BatchOrdering

/**
 * Decides which items of a node start their runs.
 *
 * The runs of all services together never exceed [maximumRuns]. They are shared between services, and within a service
 * between organisations, by [DeficitRoundRobin]; the items of one organisation start in [BatchOrdering]. Runs are not
 * interrupted: a service that gets items while others hold all runs takes the next ones that end. An item of a service
 * without workers holds no run, unless it is to be given up.
 *
 * @param maximumRuns maximum number of runs of the node
 * @param maximumWaitingRuns maximum number of runs of a service that wait for a worker at the same time
 */
class RunShares(private val maximumRuns: Int, private val maximumWaitingRuns: Int) {
    private val services = DeficitRoundRobin<String>()
    private val organisations = DeficitRoundRobin<RunAccount>()

    /** Number of runs that have started and not ended. */
    var runs = 0
        private set

    /**
     * Returns the items of [queued] that start now, in this order. Each of them is a run until [onEnded].
     *
     * @param waitingRuns number of runs of a service that wait for a worker
     * @param hasWorker whether a service has a worker that accepts requests
     */
    fun <T> start(
        queued: List<QueuedItem<T>>,
        waitingRuns: (String) -> Int,
        hasWorker: (String) -> Boolean,
    ): List<QueuedItem<T>> {
        if (runs >= maximumRuns) return emptyList()
        val servedServices = queued.map { it.account.service }.toSet().associateWith(hasWorker)
        val startable = queued.filter { it.isTimeUp || servedServices.getValue(it.account.service) }
        val itemsByAccount = startable.groupBy { it.account }
        services.update(itemsByAccount.keys.map { it.service })
        organisations.update(itemsByAccount.keys)
        val waiting = servedServices.keys.associateWith(waitingRuns).toMutableMap()
        val queues = itemsByAccount
            .filterKeys { waiting.getValue(it.service) < maximumWaitingRuns }
            .mapValuesTo(HashMap()) { (_, items) -> ArrayDeque(BatchOrdering.sort(items) { it.untilDueMillis }) }
        val started = ArrayList<QueuedItem<T>>()
        while (runs < maximumRuns) {
            val account = next(queues.keys.filter { waiting.getValue(it.service) < maximumWaitingRuns }) ?: break
            val queue = queues.getValue(account)
            started += queue.removeFirst()
            if (queue.isEmpty()) queues.remove(account)
            waiting.merge(account.service, 1, Int::plus)
            onStarted(account)
        }
        return started
    }

    /** Records that a run of [account] has ended. */
    fun onEnded(account: RunAccount) {
        runs--
        services.onReturned(account.service)
        organisations.onReturned(account)
    }

    private fun next(accounts: List<RunAccount>): RunAccount? {
        val service = services.next(accounts.map { it.service }.toSet())
        return organisations.next(accounts.filter { it.service == service })
    }

    private fun onStarted(account: RunAccount) {
        runs++
        services.onTaken(account.service)
        organisations.onTaken(account)
    }
}
