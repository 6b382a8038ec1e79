package org.poplarshift.verification.soak

/**
 * Starts the processes of [nodes] and starts those again that have ended.
 *
 * A stop may come on another thread in the middle of a round. It wins over every start, also over one in progress.
 */
class NodeSupervisor(
    private val nodes: List<SoakNode>,
    private val disturbances: Disturbances,
    private val ledger: SoakLedger,
    private val nowMillis: () -> Long,
) {
    /** Whether [stop] was called. */
    @Volatile
    var isStopping = false
        private set

    /** Starts all processes for the first time. */
    fun startAll() = nodes.forEach { it.process.start() }

    /** Starts the processes that have ended and aren't held down, and reports ends that were not expected. */
    fun restartEnded() = nodes.forEach { node ->
        if (isStopping) return
        if (!node.process.isAlive && !node.isHeldDown) restart(node)
    }

    /** Kills all processes. None is started afterwards. */
    fun stop() {
        isStopping = true
        nodes.forEach { it.process.close() }
    }

    private fun restart(node: SoakNode) {
        val end = disturbances.begin(node.name, nowMillis())
        if (!node.isEndExpected) {
            ledger.report(Promise.KEEPS_RUNNING, "${node.name} ended with ${node.process.exitCode}")
        }
        node.isEndExpected = false
        node.terminatedMillis = null
        node.process.start()
        end(nowMillis())
    }
}
