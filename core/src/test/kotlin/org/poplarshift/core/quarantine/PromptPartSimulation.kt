package org.poplarshift.core.quarantine

import org.poplarshift.core.simulation.VirtualTime
import kotlin.random.Random

/** How the simulated nodes identify the requests that crash workers. */
enum class CrashIdentification {
    /** The policy of the production code. */
    PROMPT_PARTS,

    /** Broken: a request is identified by its whole content only. */
    WHOLE_REQUESTS,

    /** Broken: a part counts as crashing workers although requests with it are answered. */
    NO_ACQUITTALS,
}

/**
 * Simulates nodes and workers in virtual time while some requests have a prompt part that crashes workers. The evidence
 * of a node reaches the others after a delay.
 *
 * @param outageMillis time at which all workers crash for another reason, or null
 */
class PromptPartSimulation(
    seed: Long,
    private val identification: CrashIdentification,
    private val outageMillis: Long? = null,
) {
    private class Request(val fingerprint: String, val parts: List<String>) {
        val isCrashing = CRASHING_PART in parts
        val workers = ArrayList<String>()
    }

    private class Run(val node: Node, val request: Request, val sentMillis: Long) {
        var hasBegun = false
    }

    private class Node {
        val table = PromptPartTable(retentionMillis = 600_000)
        val requests = QuarantineTable(retentionMillis = 600_000, strikeLimit = 3)
    }

    private val random = Random(seed)
    private val time = VirtualTime()
    private val nodes = List(NODES) { Node() }
    private val runsByWorker = (1..WORKERS).associate { "w$it" to ArrayList<Run>() }
    private val downUntilMillis = HashMap<String, Long>()
    private var lives = 0
    private val lifeByWorker = HashMap<String, Int>()
    private val crashMillis = ArrayList<Long>()

    /** Number of requests with the crashing part that reached workers after the settling time of the fifth crash. */
    var laterCrashingRequests = 0
        private set

    /**
     * Number of harmless requests that arrived later than twice that time after the fifth crash, or after the last one
     * if there were fewer, and how many of them were refused.
     */
    var laterHarmlessRequests = 0
        private set
    var laterRefused = 0
        private set

    /** Runs until [END_MILLIS]. */
    fun run() = apply {
        repeat(REQUESTS) { number -> time.after(random.nextLong(END_MILLIS)) { arrive(number) } }
        repeat(UNRELATED_CRASHES) {
            time.after(random.nextLong(END_MILLIS)) { crash(runsByWorker.keys.random(random)) }
        }
        outageMillis?.let { at -> time.after(at) { runsByWorker.keys.forEach { crash(it) } } }
        time.run(END_MILLIS + 5_000)
    }

    private fun arrive(number: Int) {
        val isCrashing = time.nowMillis > FIRST_CRASHING_MILLIS && random.nextInt(100) < CRASHING_PERCENT
        val subject = "subject${random.nextInt(1 + random.nextInt(SUBJECTS))}"
        val shared = listOf("system${random.nextInt(SYSTEMS)}", subject)
        val request = Request("r$number", if (isCrashing) shared + CRASHING_PART else shared)
        val node = nodes.random(random)
        val isCounted = isSettled(2 * SETTLING_MILLIS) && !request.isCrashing
        if (isCounted) laterHarmlessRequests++
        if (isRefused(node, request)) {
            if (isCounted) laterRefused++
        } else {
            send(node, request)
        }
    }

    private fun isSettled(millis: Long): Boolean {
        val crash = crashMillis.getOrNull(CRASH_LIMIT - 1) ?: crashMillis.lastOrNull() ?: return false
        return time.nowMillis > crash + millis
    }

    private fun isRefused(node: Node, request: Request): Boolean =
        if (identification == CrashIdentification.WHOLE_REQUESTS) {
            node.requests.statusOf(request.fingerprint, time.nowMillis) == SuspectStatus.Quarantined
        } else {
            node.table.blamedParts(request.parts).isNotEmpty()
        }

    private fun send(node: Node, request: Request) {
        val worker = runsByWorker.keys
            .filter { (downUntilMillis[it] ?: 0) <= time.nowMillis && it !in request.workers }
            .minByOrNull { runsByWorker.getValue(it).size + random.nextDouble() } ?: return
        if (request.isCrashing && crashMillis.size >= CRASH_LIMIT && isSettled(SETTLING_MILLIS)) laterCrashingRequests++
        request.workers += worker
        val run = Run(node, request, time.nowMillis)
        runsByWorker.getValue(worker) += run
        time.after(random.nextLong(20, 100)) { begin(worker, run) }
    }

    private fun begin(worker: String, run: Run) {
        if (runsByWorker.getValue(worker).none { it === run }) return
        if (run.request.isCrashing) {
            crashMillis += time.nowMillis
            return crash(worker)
        }
        run.hasBegun = true
        if (identification != CrashIdentification.NO_ACQUITTALS) {
            publish(run.node, run.node.table.onAnswered(run.request.parts, time.nowMillis))
        } else {
            run.node.table.onAnswered(emptyList(), time.nowMillis)
        }
        time.after(random.nextLong(200, 500)) { runsByWorker.getValue(worker).removeIf { it === run } }
    }

    private fun crash(worker: String) {
        val lost = runsByWorker.getValue(worker).toList()
        val name = "$worker/${lifeByWorker.put(worker, ++lives)}"
        runsByWorker.getValue(worker).clear()
        downUntilMillis[worker] = time.nowMillis + random.nextLong(2_000, 4_000)
        for (run in lost) {
            val request = run.request
            run.node.requests.onWorkerCrash(request.fingerprint, name, time.nowMillis)
            if (!run.hasBegun) {
                val update = run.node.table.onWorkerCrash(
                    request.fingerprint,
                    name,
                    request.parts,
                    run.sentMillis,
                    time.nowMillis,
                )
                publish(run.node, update)
            }
            if (request.workers.size < ATTEMPTS && !isRefused(run.node, request)) send(run.node, request)
        }
    }

    private fun publish(sender: Node, observed: PromptPartUpdate) {
        val update = observed + sender.table.confirm(time.nowMillis)
        if (update.isEmpty) return
        for (node in nodes.filter { it !== sender }) {
            time.after(random.nextLong(10, MAXIMUM_DELAY_MILLIS)) {
                publish(node, node.table.merge(update, time.nowMillis))
            }
        }
    }

    companion object {
        const val CRASHING_PART = "crashing"
        private const val NODES = 9
        private const val WORKERS = 8
        private const val END_MILLIS = 30_000L
        private const val REQUESTS = 1_200
        private const val UNRELATED_CRASHES = 6
        private const val FIRST_CRASHING_MILLIS = 2_000L
        private const val CRASHING_PERCENT = 5
        private const val SYSTEMS = 5
        private const val SUBJECTS = 60
        private const val ATTEMPTS = 2
        private const val MAXIMUM_DELAY_MILLIS = 700L

        // The users' rules count from these times after the fifth crash.
        private const val CRASH_LIMIT = 5
        private const val SETTLING_MILLIS = 3_000L
    }
}
