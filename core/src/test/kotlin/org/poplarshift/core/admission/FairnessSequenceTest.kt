package org.poplarshift.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import org.poplarshift.core.simulation.VirtualTime
import kotlin.math.ln
import kotlin.random.Random

/**
 * Guards against an organisation that consumes the share of others. It sends 5 times its rate, which makes the total
 * load 1.35 times the capacity. The others must receive at least 95% of their requested service within their share.
 */
class FairnessSequenceTest :
    FunSpec({
        class Traffic(var offered: Long = 0, var served: Long = 0)

        fun simulate(seed: Long, isFair: Boolean): List<String> {
            val time = VirtualTime()
            val random = Random(seed)
            // With a single organisation name, the queue has one backlog and is first in, first out.
            val queue = FairQueue<Traffic>(maximumLength = 256)
            val traffic = List(ORGANISATIONS) { Traffic() }
            var free = CAPACITY

            fun dispatch() {
                queue.expire(time.nowMillis)
                while (free > 0) {
                    val request = queue.poll { TakeResult.TAKEN } ?: return
                    free--
                    time.after(request.costTokens * MILLIS_PER_TOKEN) {
                        free++
                        request.payload.served += request.costTokens
                        dispatch()
                    }
                }
            }

            fun arrive(organisation: Int) {
                val cost = random.nextLong(50, 500)
                val entry = traffic[organisation]
                if (time.nowMillis >= WARM_UP_MILLIS) entry.offered += cost
                val name = if (isFair) "organisation $organisation" else "all"
                queue.offer(QueuedRequest(name, 1.0, cost, time.nowMillis + 2_000, entry))
                dispatch()
                val multiple = if (organisation == 0) 5 else 1
                val meanMillis = 275.0 * MILLIS_PER_TOKEN * ORGANISATIONS / (CAPACITY * UTILISATION * multiple)
                time.after((-ln(1 - random.nextDouble()) * meanMillis).toLong()) { arrive(organisation) }
            }
            repeat(ORGANISATIONS) { arrive(it) }
            time.run(WARM_UP_MILLIS)
            traffic.forEach { it.served = 0 }
            time.run(END_MILLIS)
            val share = CAPACITY * (END_MILLIS - WARM_UP_MILLIS) / MILLIS_PER_TOKEN / ORGANISATIONS
            return traffic.drop(1).mapIndexedNotNull { index, entry ->
                val entitled = minOf(entry.offered, share)
                val percent = 100.0 * entry.served / entitled
                "seed $seed: organisation ${index + 1} received %.1f%%".format(percent).takeIf { percent < 95.0 }
            }
        }

        test("organisations within their share receive 95% of it while another one sends 5 times its rate") {
            (1L..20L).flatMap { simulate(it, isFair = true) }.shouldBeEmpty()
        }

        test("the check detects the unfairness of a first-in, first-out queue") {
            val problems = (1L..5L).flatMap { simulate(it, isFair = false) }
            println(
                "admission: first in, first out has ${problems.size} problems in 5 seeds, first: ${problems.firstOrNull()}",
            )
            problems.shouldNotBeEmpty()
        }
    }) {
    private companion object {
        const val ORGANISATIONS = 8
        const val CAPACITY = 64
        const val MILLIS_PER_TOKEN = 10L
        const val UTILISATION = 0.9
        const val WARM_UP_MILLIS = 10_000L
        const val END_MILLIS = 310_000L
    }
}
