package org.poplarshift.core.dispatch

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates nodes that share workers, in virtual time.
 *
 * Each node selects workers with its own load balancer, queues requests when no worker seems to have a free slot, and
 * learns of the requests of other nodes from load messages. Workers serve requests in order of arrival and queue the
 * rest.
 *
 * @property messageIntervalMillis the minimum time between two load messages of a node
 * @property sendsOnChange whether a node sends a message on each change of its load, or only periodically
 */
class SharedWorkersSimulation(
    private val nodes: Int,
    private val workers: Int,
    private val slots: Int,
    private val runMillis: Long,
    private val messageIntervalMillis: Long,
    private val sendsOnChange: Boolean,
    seed: Int,
) {
    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    private class Worker(var running: Int = 0, val queue: ArrayDeque<() -> Unit> = ArrayDeque())

    private class Request(val arrivedMillis: Long)

    private inner class Node(val name: String, zone: String) {
        val balancer = LoadBalancer(zone) { random.nextDouble() }
        val loads = PeerLoads()
        val waiting = ArrayDeque<Request>()
        var lastSentMillis = Long.MIN_VALUE / 2
        var isSendScheduled = false
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val workerList = List(workers) { Worker() }
    private val nodeList = List(nodes) { Node("n$it", "z${it % ZONES}") }
    private val waits = ArrayList<Long>()
    private var now = 0L
    private var order = 0L

    /**
     * Serves requests that arrive until [endMillis] at the rate that [perSecond] returns for the current time.
     *
     * @return the milliseconds that each request waited for its start
     */
    fun run(endMillis: Long, perSecond: (Long) -> Double): List<Long> {
        val entries = List(workers) {
            FleetWorker(
                "w$it",
                SERVICE,
                "10.0.0.$it:80",
                "z${it % ZONES}",
                slots,
                isDraining = false,
                startedMillis = 1,
            )
        }
        nodeList.forEach { it.balancer.update(entries) }
        if (!sendsOnChange) {
            nodeList.forEach { node ->
                schedule(random.nextLong(messageIntervalMillis)) { sendPeriodically(node) }
            }
        }
        scheduleArrival(endMillis, perSecond)
        while ((events.peek()?.atMillis ?: Long.MAX_VALUE) <= endMillis + DRAIN_MILLIS) {
            val event = events.remove()
            now = event.atMillis
            event.action()
        }
        return waits
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    private fun scheduleArrival(endMillis: Long, perSecond: (Long) -> Double) {
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond(now) * MILLIS_PER_SECOND
        val next = now + maxOf(1, gapMillis.toLong())
        if (next > endMillis) return
        schedule(next) {
            val node = nodeList.random(random)
            node.waiting += Request(now)
            serve(node)
            scheduleArrival(endMillis, perSecond)
        }
    }

    private fun serve(node: Node) {
        while (node.waiting.isNotEmpty()) {
            val state = node.balancer.choose(SERVICE, headroom = 0, excluded = emptySet(), nowMillis = now) ?: break
            val request = node.waiting.removeFirst()
            state.onSent(isBatch = false)
            val worker = workerList[state.worker.id.drop(1).toInt()]
            schedule(now + ONE_WAY_DELAY_MILLIS) { submit(worker) { start(node, state, worker, request) } }
        }
        scheduleSend(node)
    }

    private fun submit(worker: Worker, start: () -> Unit) {
        if (worker.running < slots) start() else worker.queue += start
    }

    private fun start(node: Node, state: WorkerState, worker: Worker, request: Request) {
        worker.running++
        waits += now - request.arrivedMillis
        val duration = runMillis / 2 + random.nextLong(runMillis)
        schedule(now + duration) {
            worker.running--
            worker.queue.removeFirstOrNull()?.invoke()
            schedule(now + ONE_WAY_DELAY_MILLIS) {
                state.onEnded(isBatch = false)
                serve(node)
            }
        }
    }

    private fun scheduleSend(node: Node) {
        if (!sendsOnChange || node.isSendScheduled) return
        node.isSendScheduled = true
        schedule(maxOf(now, node.lastSentMillis + messageIntervalMillis)) {
            node.isSendScheduled = false
            node.lastSentMillis = now
            sendLoad(node)
        }
    }

    private fun sendPeriodically(node: Node) {
        sendLoad(node)
        schedule(now + messageIntervalMillis) { sendPeriodically(node) }
    }

    private fun sendLoad(node: Node) {
        val online = node.balancer.workerStates.filter { it.online > 0 }.associate { it.worker.id to it.online }
        val load = NodeLoad(node.name, "", online, emptyMap(), emptyMap(), reachesLog = true)
        for (peer in nodeList) {
            if (peer === node) continue
            schedule(now + ONE_WAY_DELAY_MILLIS) {
                peer.loads.onLoad(load, now)
                peer.loads.applyTo(peer.balancer, now)
                if (peer.waiting.isNotEmpty()) serve(peer)
            }
        }
    }

    private companion object {
        const val SERVICE = "service"
        const val ZONES = 3
        const val MILLIS_PER_SECOND = 1_000.0

        // The delay between availability zones plus some processing at both ends.
        const val ONE_WAY_DELAY_MILLIS = 2L
        const val DRAIN_MILLIS = 5_000L
    }
}
