package org.poplarshift.core.dispatch

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Nodes that share workers, in virtual time: each chooses by its own board, waits when it sees no room, and hears of the
 * others' requests by messages. Workers run what comes first and let the rest wait.
 *
 * @property tellMillis the shortest time between two messages of a node
 * @property tellsChanges whether a message follows each change at once, or only each [tellMillis]
 */
class SharedWorkersSimulation(
    private val nodes: Int,
    private val workers: Int,
    private val slots: Int,
    private val runMillis: Long,
    private val tellMillis: Long,
    private val tellsChanges: Boolean,
    seed: Int,
) {
    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    private class Worker(var running: Int = 0, val queue: ArrayDeque<() -> Unit> = ArrayDeque())

    private class Request(val arrivedMillis: Long)

    private inner class Node(val name: String, zone: String) {
        val board = WorkerBoard(zone) { random.nextDouble() }
        val loads = PeerLoads()
        val waiting = ArrayDeque<Request>()
        var toldMillis = Long.MIN_VALUE / 2
        var isTelling = false
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val fleet = List(workers) { Worker() }
    private val all = List(nodes) { Node("n$it", "z${it % ZONES}") }
    private val waits = ArrayList<Long>()
    private var now = 0L
    private var order = 0L

    /** Serves arrivals at [perSecond] of the time, until [endMillis], and returns how long each waited for its start. */
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
        all.forEach { it.board.update(entries) }
        if (!tellsChanges) all.forEach { node -> at(random.nextLong(tellMillis)) { tellInRounds(node) } }
        arrive(endMillis, perSecond)
        while ((events.peek()?.atMillis ?: Long.MAX_VALUE) <= endMillis + DRAIN_MILLIS) {
            val event = events.remove()
            now = event.atMillis
            event.action()
        }
        return waits
    }

    private fun at(millis: Long, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    private fun arrive(endMillis: Long, perSecond: (Long) -> Double) {
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond(now) * MILLIS_PER_SECOND
        val next = now + maxOf(1, gapMillis.toLong())
        if (next > endMillis) return
        at(next) {
            val node = all.random(random)
            node.waiting += Request(now)
            serve(node)
            arrive(endMillis, perSecond)
        }
    }

    private fun serve(node: Node) {
        while (node.waiting.isNotEmpty()) {
            val seat = node.board.choose(SERVICE, headroom = 0, excluded = emptySet(), nowMillis = now) ?: break
            val request = node.waiting.removeFirst()
            seat.onSent(isBatch = false)
            val worker = fleet[seat.worker.id.drop(1).toInt()]
            at(now + TRIP_MILLIS) { offer(worker) { begin(node, seat, worker, request) } }
        }
        changed(node)
    }

    private fun offer(worker: Worker, begin: () -> Unit) {
        if (worker.running < slots) begin() else worker.queue += begin
    }

    private fun begin(node: Node, seat: WorkerSeat, worker: Worker, request: Request) {
        worker.running++
        waits += now - request.arrivedMillis
        val duration = runMillis / 2 + random.nextLong(runMillis)
        at(now + duration) {
            worker.running--
            worker.queue.removeFirstOrNull()?.invoke()
            at(now + TRIP_MILLIS) {
                seat.onEnded(isBatch = false)
                serve(node)
            }
        }
    }

    private fun changed(node: Node) {
        if (!tellsChanges || node.isTelling) return
        node.isTelling = true
        at(maxOf(now, node.toldMillis + tellMillis)) {
            node.isTelling = false
            node.toldMillis = now
            tell(node)
        }
    }

    private fun tellInRounds(node: Node) {
        tell(node)
        at(now + tellMillis) { tellInRounds(node) }
    }

    private fun tell(node: Node) {
        val online = node.board.all.filter { it.online > 0 }.associate { it.worker.id to it.online }
        val load = NodeLoad(node.name, "", online, emptyMap(), emptyMap(), reachesLog = true)
        for (peer in all) {
            if (peer === node) continue
            at(now + TRIP_MILLIS) {
                peer.loads.onLoad(load, now)
                peer.loads.apply(peer.board, now)
                if (peer.waiting.isNotEmpty()) serve(peer)
            }
        }
    }

    private companion object {
        const val SERVICE = "service"
        const val ZONES = 3
        const val MILLIS_PER_SECOND = 1_000.0

        // Between zones, with some processing at both ends.
        const val TRIP_MILLIS = 2L
        const val DRAIN_MILLIS = 5_000L
    }
}
