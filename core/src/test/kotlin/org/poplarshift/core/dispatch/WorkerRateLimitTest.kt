package org.poplarshift.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

/**
 * Guards against a worker that gets more requests from all nodes together than the rate that it states, also after the
 * scheduler has been replaced, and against a limit that outlives its end.
 */
class WorkerRateLimitTest :
    FunSpec({
        /** Nodes that together ask for [REQUESTS_PER_SECOND] slots, at workers of which the first states [limit]. */
        class Fixture(private val limit: (Long) -> Double?, private val use: SlotUse) {
            private var workers = balancer()
            private var scheduler = SlotScheduler("s", workers, ZoneCapacities())
            private val known = HashMap<String, Double?>()
            private val ends = ArrayList<Pair<Long, () -> Unit>>()
            private var number = 0L
            private var now = 0L
            val startMillis = ArrayList<Long>()

            private fun balancer() = LoadBalancer("here") { 0.0 }.apply {
                update(
                    List(3) {
                        FleetWorker(
                            "w$it",
                            "s",
                            "10.0.0.1:80",
                            "here",
                            slots = 8,
                            isDraining = false,
                            startedMillis = 1,
                        )
                    },
                )
            }

            fun replaceScheduler() {
                workers = balancer()
                scheduler = SlotScheduler("s", workers, ZoneCapacities())
                NODES.forEach { connect(it) }
            }

            fun connect(node: String) {
                val limits = known[node]?.let { mapOf("w0" to it) }.orEmpty()
                val current = scheduler
                scheduler.onConnected(
                    NodeMessage.Hello(node, emptyList(), limits),
                    now,
                    object : SlotScheduler.NodeConnection {
                        override fun send(message: SchedulerMessage) {
                            if (current === scheduler && message is SchedulerMessage.Granted) onGranted(node, message)
                        }

                        override fun close() = Unit
                    },
                )
            }

            private fun onGranted(node: String, granted: SchedulerMessage.Granted) {
                val current = scheduler
                if (granted.worker == "w0") {
                    startMillis += now
                    ends += now + HEAD_MILLIS to { onHead(node, granted, current) }
                }
                ends += now + RUN_MILLIS to { current.onMessage(node, NodeMessage.Release(granted.number), now) }
            }

            private fun onHead(node: String, granted: SchedulerMessage.Granted, at: SlotScheduler) {
                val stated = limit(now)
                known[node] = stated
                if (stated != granted.requestsPerSecond) at.onMessage(node, NodeMessage.RateLimit("w0", stated), now)
            }

            fun run(untilMillis: Long) {
                while (now < untilMillis) {
                    now++
                    val due = ends.filter { it.first <= now }
                    ends.removeAll(due)
                    due.forEach { it.second() }
                    if (now % (1_000 / REQUESTS_PER_SECOND) == 0L) {
                        val node = NODES[(number % NODES.size).toInt()]
                        scheduler.onMessage(node, NodeMessage.Acquire(++number, use, priority = 0, 300), now)
                    }
                    if (now % 50 == 0L) scheduler.update(now)
                }
            }

            fun mostInWindow(fromMillis: Long): Int = startMillis.filter { it >= fromMillis }.let { starts ->
                starts.maxOfOrNull { start -> starts.count { it in start until start + WINDOW_MILLIS } } ?: 0
            }
        }

        data class Case(
            val name: String,
            val limit: Double,
            val use: SlotUse = SlotUse.ONLINE,
            val replacedMillis: List<Long> = emptyList(),
        )
        listOf(
            Case("one request in five seconds", limit = 0.2),
            Case("a few requests a second", limit = 3.0),
            Case("a rate near the demand", limit = 20.0),
            Case("no requests at all", limit = 0.0),
            Case("batch items", limit = 3.0, use = SlotUse.BATCH),
            Case("a scheduler that is replaced repeatedly", limit = 2.0, replacedMillis = listOf(8_000, 9_000, 10_000)),
        ).forEach { case ->
            test("all nodes together keep to the rate limit of a worker: ${case.name}") {
                val fixture = Fixture({ now -> case.limit.takeIf { now >= 2_000 } }, case.use)
                (0 until 9).forEach { fixture.connect("n$it") }
                for (millis in case.replacedMillis) {
                    fixture.run(millis)
                    fixture.replaceScheduler()
                }
                fixture.run(END_MILLIS)
                val allowed = OVERAGE * case.limit * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS
                withClue("${fixture.startMillis.filter { it > 5_000 }}") {
                    fixture.mostInWindow(5_000).toDouble() shouldBeLessThanOrEqual allowed
                    // The rate that the worker accepts is used as well.
                    fixture.startMillis.count { it > 5_000 } shouldBeGreaterThanOrEqual
                        (USED_SHARE * case.limit * (END_MILLIS - 5_000) / 1_000).toInt()
                }
            }
        }

        test("a worker gets requests as before once it states no limit any more") {
            val fixture = Fixture({ now -> 1.0.takeIf { now in 2_000..8_000 } }, SlotUse.ONLINE)
            (0 until 9).forEach { fixture.connect("n$it") }
            fixture.run(END_MILLIS)
            fixture.startMillis.count { it in 5_000 until 8_000 } shouldBeLessThanOrEqual 4
            fixture.startMillis.count { it > 10_000 } shouldBeGreaterThanOrEqual 50
        }
    }) {
    private companion object {
        val NODES = List(9) { "n$it" }
        const val REQUESTS_PER_SECOND = 100L
        const val HEAD_MILLIS = 40L
        const val RUN_MILLIS = 300L
        const val END_MILLIS = 20_000L
        const val USED_SHARE = 0.6

        // The users' rule: in 4 s at most one and a half times what the limit allows, and five requests.
        const val WINDOW_MILLIS = 4_000L
        const val OVERAGE = 1.5
        const val SLACK_REQUESTS = 5.0
    }
}
