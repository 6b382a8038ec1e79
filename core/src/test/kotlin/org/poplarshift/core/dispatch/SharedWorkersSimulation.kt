package org.poplarshift.core.dispatch

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates nodes that share workers, in virtual time.
 *
 * With schedulers, each request asks the scheduler of its node's zone for a slot and may be redirected to another zone.
 * Without them, each node selects workers with its own load balancer, which knows the requests of this node and the
 * load that workers report in their responses. Workers serve requests in order of arrival and queue the rest.
 *
 * @property zoneWeights relative rate of the requests that arrive in each zone
 */
class SharedWorkersSimulation(
    nodes: Int,
    private val zoneWeights: List<Double>,
    workers: Int,
    private val slots: Int,
    private val runMillis: Long,
    private val usesSchedulers: Boolean,
    seed: Int,
) {
    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    private class Worker(var running: Int = 0, val queue: ArrayDeque<() -> Unit> = ArrayDeque())

    private class Request(val number: Long, val node: Node, val arrivedMillis: Long)

    private class Node(val name: String, val zone: Int, val balancer: LoadBalancer) {
        val waiting = ArrayDeque<Request>()
    }

    private inner class ZoneScheduler(val zone: Int) {
        val capacities = ZoneCapacities()
        val scheduler = SlotScheduler(
            SERVICE,
            LoadBalancer("z$zone") { random.nextDouble() }.apply { update(entries.filter { it.zone == "z$zone" }) },
            capacities,
        )

        fun connect(node: Node) = scheduler.onConnected(
            NodeMessage.Hello(node.name, leases = emptyList()),
            nowMillis = 0,
            object : SlotScheduler.NodeConnection {
                override fun send(message: SchedulerMessage) =
                    schedule(now + delay(node.zone, zone)) { onReply(message, zone) }

                override fun close() = error("the connection of ${node.name} was closed")
            },
        )
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val workerList = List(workers) { Worker() }
    private val zones = zoneWeights.size
    private val entries = List(workers) {
        FleetWorker("w$it", SERVICE, "10.0.0.$it:80", "z${it % zones}", slots, isDraining = false, startedMillis = 1)
    }
    private val nodeList = List(nodes) { index ->
        val balancer = LoadBalancer("z${index % zones}") { random.nextDouble() }.apply { update(entries) }
        Node("n$index", index % zones, balancer)
    }
    private val schedulers = List(zones) { ZoneScheduler(it) }
    private val requests = HashMap<Long, Request>()
    private val waits = ArrayList<Long>()
    private var now = 0L
    private var order = 0L

    /**
     * Serves requests that arrive until [endMillis] at the rate that [perSecond] returns for the current time.
     *
     * @return the milliseconds that each request waited for its start
     */
    fun run(endMillis: Long, perSecond: (Long) -> Double): List<Long> {
        if (usesSchedulers) {
            schedulers.forEach { scheduler -> nodeList.forEach { scheduler.connect(it) } }
            schedule(0) { announce() }
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

    private fun delay(from: Int, to: Int): Long = if (from == to) IN_ZONE_MILLIS else CROSS_ZONE_MILLIS

    private fun scheduleArrival(endMillis: Long, perSecond: (Long) -> Double) {
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond(now) * MILLIS_PER_SECOND
        val next = now + maxOf(1, gapMillis.toLong())
        if (next > endMillis) return
        schedule(next) {
            val request = Request(order, randomNode(), now)
            requests[request.number] = request
            if (usesSchedulers) {
                ask(request, request.node.zone, mayRedirect = true)
            } else {
                request.node.waiting += request
                serveAlone(request.node)
            }
            scheduleArrival(endMillis, perSecond)
        }
    }

    private fun randomNode(): Node {
        var remaining = random.nextDouble() * zoneWeights.sum()
        val zone = zoneWeights.indexOfFirst { weight ->
            remaining -= weight
            remaining < 0
        }.coerceAtLeast(0)
        return nodeList.filter { it.zone == zone }.random(random)
    }

    private fun ask(request: Request, zone: Int, mayRedirect: Boolean) {
        val message = NodeMessage.Acquire(
            request.number,
            SlotUse.ONLINE,
            priority = 0,
            onTimeInMillis = request.arrivedMillis + ON_TIME_MILLIS - now,
            mayRedirect = mayRedirect,
        )
        schedule(now + delay(request.node.zone, zone)) {
            schedulers[zone].scheduler.onMessage(request.node.name, message, now)
        }
    }

    private fun onReply(message: SchedulerMessage, zone: Int) {
        when (message) {
            is SchedulerMessage.Granted -> {
                val request = requests.getValue(message.number)
                val worker = message.worker
                send(request, worker, delay(request.node.zone, zone)) {
                    schedulers[zone].scheduler.onMessage(request.node.name, NodeMessage.Release(request.number), now)
                }
            }

            is SchedulerMessage.Redirected -> {
                val target = message.zone.drop(1).toInt()
                ask(requests.getValue(message.number), target, mayRedirect = false)
            }

            else -> Unit
        }
    }

    private fun announce() {
        for (from in schedulers) {
            val capacity = from.scheduler.capacity(now)
            for (to in schedulers) {
                if (to === from) continue
                schedule(now + CROSS_ZONE_MILLIS) { to.capacities.onAnnouncement("z${from.zone}", capacity, now) }
            }
            from.scheduler.update(now)
        }
        schedule(now + ANNOUNCEMENT_MILLIS) { announce() }
    }

    private fun serveAlone(node: Node) {
        while (node.waiting.isNotEmpty()) {
            val state = node.balancer.choose(SERVICE, headroom = 0, excluded = emptySet(), nowMillis = now) ?: return
            val request = node.waiting.removeFirst()
            state.onSent(isBatch = false)
            send(request, state.worker.id, CROSS_ZONE_MILLIS) {
                state.onEnded(isBatch = false)
                serveAlone(node)
            }
        }
    }

    private fun send(request: Request, workerId: String, delayMillis: Long, onEnd: () -> Unit) {
        val worker = workerList[workerId.drop(1).toInt()]
        schedule(now + delayMillis) {
            val start = { start(request, workerId, worker, delayMillis, onEnd) }
            if (worker.running < slots) start() else worker.queue += start
        }
    }

    private fun start(request: Request, workerId: String, worker: Worker, delayMillis: Long, onEnd: () -> Unit) {
        worker.running++
        waits += now - request.arrivedMillis
        val load = worker.running + worker.queue.size
        schedule(now + delayMillis) { request.node.balancer.state(workerId)?.onLoadReport(load, now) }
        schedule(now + runMillis / 2 + random.nextLong(runMillis)) {
            worker.running--
            worker.queue.removeFirstOrNull()?.invoke()
            schedule(now + delayMillis, onEnd)
        }
    }

    private companion object {
        const val SERVICE = "service"
        const val MILLIS_PER_SECOND = 1_000.0
        const val ON_TIME_MILLIS = 150L

        // The network delay plus some processing at both ends.
        const val IN_ZONE_MILLIS = 1L
        const val CROSS_ZONE_MILLIS = 2L
        const val ANNOUNCEMENT_MILLIS = 50L
        const val DRAIN_MILLIS = 5_000L
    }
}
