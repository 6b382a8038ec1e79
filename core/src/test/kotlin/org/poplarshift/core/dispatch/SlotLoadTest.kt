package org.poplarshift.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.poplarshift.core.dispatch.SlotLoadSimulation.Demand
import org.poplarshift.core.dispatch.SlotLoadSimulation.Request

/**
 * Guards against one organisation whose load delays the requests of all others, and against refusals of requests that
 * the queue would have served in time. The order without organisations is the one by lateness and arrival.
 */
class SlotLoadTest :
    FunSpec({
        data class Report(val name: String, val requests: List<Request>) {
            fun share(isCounted: (Request) -> Boolean) = requests.count(isCounted) / requests.size.toDouble()
            val onTime = share { it.isOnTime }
            val served = share { it.endedMillis != null }
            val refused = requests.count { it.refusedMillis != null }
            val expired = requests.count { it.endedMillis == null && it.refusedMillis == null }

            override fun toString() = "$name: ${requests.size} on time %.4f served %.4f ".format(onTime, served) +
                "refused $refused expired $expired"
        }

        fun report(name: String, requests: List<Request>) = Report(name, requests).also { println("slot load: $it") }

        /** One organisation with a fifth of the load and 16 others, each with a limit of 1.6 times its usual load. */
        fun online(utilisation: Double, factor: (Boolean, Long) -> Double = { _, _ -> 1.0 }) =
            (listOf(0.2) + List(16) { 0.05 }).mapIndexed { index, part ->
                val usual = utilisation * part * SlotLoadSimulation.CAPACITY
                Demand("organisation $index", weight = usual * 1.6) { usual * factor(index == 0, it) }
            }

        fun isFlooding(request: Request) = request.demand.organisation == "organisation 0"
        fun step(nowMillis: Long) = if (nowMillis / STEP_MILLIS % 2 == 1L) 1.87 else 0.383
        fun flood(isFlooding: Boolean, nowMillis: Long) = if (isFlooding && nowMillis >= 10_000) 7.5 else 1.0

        test("an organisation with 7.5 times its usual load for 20 s delays only its own requests") {
            val (others, flooding) = listOf(false, true).map { useOrganisations ->
                SlotLoadSimulation(SEED, online(0.6, ::flood), useOrganisations).run(30_000)
            }.let { (before, now) ->
                report("flood, others, one flow", before.filterNot(::isFlooding)).onTime shouldBeLessThan 0.9
                report("flood, others", now.filterNot(::isFlooding)) to report("flood, own", now.filter(::isFlooding))
            }
            others.onTime shouldBeGreaterThanOrEqual 0.99
            others.refused shouldBe 0
            // The others use 48% of the slots, so that 52% are left for the 90% that it asks for.
            flooding.served shouldBeGreaterThan 0.5
        }

        test(
            "requests that would wait in vain in a lasting overload are refused at once, at no cost for others",
        ) {
            val (waiting, refusing) = listOf(false, true).map { usesDeadlines ->
                val simulation = SlotLoadSimulation(SEED, online(2.0), usesDeadlines = usesDeadlines)
                report("overload, deadlines $usesDeadlines", simulation.run(30_000))
            }
            waiting.refused shouldBe 0
            refusing.expired * 2 shouldBeLessThan waiting.expired
            refusing.onTime shouldBeGreaterThanOrEqual waiting.onTime * 0.99
            val early = refusing.requests.filter { it.refusedMillis != null }
            withClue("a refusal comes at once") { early.all { it.refusedMillis == it.arrivedMillis } shouldBe true }
            withClue("the callers return at different times") {
                early.map { it.retryMillis / 500 }.distinct().size shouldBeGreaterThan 5
            }
        }

        data class NoRefusalCase(val name: String, val demands: List<Demand>, val outageMillis: LongRange? = null)
        listOf(
            NoRefusalCase("steps of 0.383 and 1.87 times the mean", online(0.8) { _, now -> step(now) }),
            NoRefusalCase("a third of the workers is lost for 4.5 s", online(0.8), 10_000L..14_500L),
        ).forEach { case ->
            test("no request is refused or expires while the queue drains in time: ${case.name}") {
                for (seed in SEED until SEED + 3) {
                    val requests = SlotLoadSimulation(seed, case.demands, outageMillis = case.outageMillis).run(30_000)
                    val report = report("${case.name}, seed $seed", requests)
                    withClue("$seed") { report.refused to report.expired shouldBe (0 to 0) }
                }
            }

            test("refusals cost hardly any served request when nodes wait for a shorter time: ${case.name}") {
                val served = listOf(false, true).map { usesDeadlines ->
                    val simulation = SlotLoadSimulation(
                        SEED,
                        case.demands,
                        usesDeadlines = usesDeadlines,
                        outageMillis = case.outageMillis,
                        waitMillis = NODE_WAIT_MILLIS,
                    )
                    report("${case.name}, deadlines $usesDeadlines", simulation.run(30_000)).served
                }
                served[1] shouldBeGreaterThanOrEqual served[0] * 0.999
            }
        }

        test("a flood of batch submissions at 6 times the usual load delays neither online requests nor other items") {
            fun batch(name: String, factor: (Long) -> Double) = Demand(
                name,
                weight = 1.0,
                SlotUse.BATCH,
                runMillis = 3_000,
                dueMillis = 15_000,
            ) { 2.0 * factor(it) }
            val items = listOf(
                batch("flooding") { if (it in 5_000..25_000) 6.0 else 1.0 },
                batch("other 1") { 1.0 },
                batch("other 2") { 1.0 },
            )
            val (before, now) = listOf(false, true).map { useOrganisations ->
                SlotLoadSimulation(SEED, online(0.5) + items, useOrganisations).run(30_000)
                    .groupBy { it.demand.organisation.substringBefore(' ') }
                    .mapValues { (name, requests) -> report("batch flood, $name", requests) }
            }
            before.getValue("other").onTime shouldBeLessThan 0.9
            now.getValue("other").onTime shouldBeGreaterThanOrEqual 0.99
            now.getValue("organisation").onTime shouldBeGreaterThanOrEqual 0.99
        }
    }) {
    private companion object {
        const val SEED = 11
        const val STEP_MILLIS = 3_000L

        // Nodes wait for a slot for 0.4 of the time of a call.
        const val NODE_WAIT_MILLIS = 2_400L
    }
}
