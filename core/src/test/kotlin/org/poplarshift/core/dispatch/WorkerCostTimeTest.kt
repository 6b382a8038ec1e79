package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan

/** Guards against choices of a worker that take so long that a scheduler becomes the bottleneck of its zone. */
class WorkerCostTimeTest :
    FunSpec({
        // The goal is some ten microseconds. The bound leaves room for a busy machine.
        test("a choice among 20 workers with 140 runs takes less than 200 microseconds") {
            val balancer = LoadBalancer("here", routing = WorkerRouting.COST).apply {
                update(
                    List(20) {
                        FleetWorker("w$it", "s", "10.0.0.1:80", "here", 8, isDraining = false, startedMillis = 1)
                    },
                )
            }
            val queue = SlotQueue("s", balancer)
            val parts = List(4) { PromptPart("part$it", 90) }
            val size = RequestSize(400, 400, 200, parts)
            fun request(number: Long) =
                SlotRequest(SlotKey("n", number), SlotUse.ONLINE, 0, 1_000, route = "r", size = size)
            repeat(140) { queue.submit(request(it.toLong()), nowMillis = it.toLong()) }
            fun measure(rounds: Int): Double {
                val start = System.nanoTime()
                repeat(rounds) {
                    queue.submit(request(1_000L + it), nowMillis = 200L + it)
                    queue.release(SlotKey("n", 1_000L + it))
                }
                return (System.nanoTime() - start) / 1_000.0 / rounds
            }
            measure(20_000)
            val micros = List(5) { measure(2_000) }.min()
            println("a choice among 20 workers, with its grant and release: $micros us")
            micros shouldBeLessThan 200.0
        }
    })
