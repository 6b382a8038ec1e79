package org.poplarshift.serving.submission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.RunSimulation
import org.poplarshift.serving.fixture.RunSimulation.Service

/** Guards against a service or an organisation that takes the item runs of the others, in virtual time. */
class RunSharesTest :
    FunSpec({
        val sound = List(6) { Service("sound-$it", slots = 200, runMillis = 1_000) }
        val slow = Service("slow", slots = 200, runMillis = 60_000)
        val dead = Service("dead", slots = 0, runMillis = 1_000)
        val full = Service("full", slots = 2, runMillis = 60_000)
        val alone = Service("alone", slots = 200, runMillis = 60_000)

        // The sound services divide equally what the first one may not or can't use.
        data class Case(val name: String, val services: List<Service>, val runs: IntRange, val soundRuns: IntRange)
        listOf(
            Case("a service without workers holds no run", sound + dead, 0..0, 16..16),
            Case("a service with long runs holds no more than the others", sound + slow, 13..14, 13..14),
            Case("a service with two slots holds these and the runs that wait", sound + full, 6..6, 15..15),
            Case("a service alone holds all runs", listOf(alone), LIMIT..LIMIT, 0..0),
        ).forEach { case ->
            test(case.name) {
                val shares = RunShares(LIMIT, WAITING_LIMIT)
                val simulation = RunSimulation(case.services, shares)
                case.services.forEach { simulation.submit(it.name, MANY_ITEMS) }
                simulation.run(SETTLE_MILLIS)
                simulation.runsOf(case.services.last().name) shouldBeInRange case.runs
                case.services.filter { it in sound }.forEach { service ->
                    withClue(service.name) { simulation.runsOf(service.name) shouldBeInRange case.soundRuns }
                }
                simulation.peakRuns shouldBe LIMIT
                shares.runs shouldBe LIMIT
            }
        }

        test("the runs stay within the limit when services get items one after another, which then get equal shares") {
            val services = List(6) { Service("service-$it", slots = 200, runMillis = 20_000) }
            val simulation = RunSimulation(services, RunShares(LIMIT, WAITING_LIMIT))
            for ((index, service) in services.withIndex()) {
                simulation.submit(service.name, MANY_ITEMS)
                simulation.run(SETTLE_MILLIS)
                simulation.peakRuns shouldBeLessThanOrEqual LIMIT
                val share = LIMIT / (index + 1)
                services.take(index + 1).forEach { simulation.runsOf(it.name) shouldBeInRange (share..share + 1) }
            }
        }

        test("services that hold no run get the next ones that end when a service with long runs holds all") {
            val simulation = RunSimulation(sound + slow, RunShares(LIMIT, WAITING_LIMIT))
            simulation.submit(slow.name, MANY_ITEMS)
            simulation.run(slow.runMillis)
            simulation.runsOf(slow.name) shouldBe LIMIT
            sound.forEach { simulation.submit(it.name, MANY_ITEMS) }
            simulation.run(SETTLE_MILLIS)
            (sound + slow).forEach { simulation.runsOf(it.name) shouldBeInRange (13..14) }
            simulation.peakRuns shouldBe LIMIT
        }

        test("an organisation with a tenth of the items of a service gets half of its runs until they are done") {
            val service = Service("service", slots = 20, runMillis = 1_000)
            val simulation = RunSimulation(listOf(service), RunShares(LIMIT, WAITING_LIMIT))
            simulation.submit(service.name, items = 360, organisation = "large")
            simulation.run(5_000)
            val before = simulation.completed.getValue(RunAccount(service.name, "large"))
            simulation.submit(service.name, items = 40, organisation = "small")
            // At ten runs a second, after the runs that waited for slots before.
            simulation.run(6_000)
            simulation.completed[RunAccount(service.name, "small")] shouldBe 40
            simulation.completed.getValue(RunAccount(service.name, "large")) - before shouldBeInRange 60..80
        }

        fun queued(organisation: String, untilDue: Long, service: String = "service", isTimeUp: Boolean = false) =
            QueuedItem("$organisation $untilDue", RunAccount(service, organisation), untilDue, isTimeUp)

        test("organisations take turns, and the items of one start in the order of their due times") {
            val items = listOf(
                queued("large", 9_000),
                queued("large", 7_000),
                queued("large", 8_000),
                queued("small", 20_000),
            )
            RunShares(LIMIT, WAITING_LIMIT).start(items, { 0 }, { true }).map { it.item } shouldContainExactly
                listOf("large 7000", "small 20000", "large 8000", "large 9000")
        }

        test("an item whose time is up needs no worker") {
            val items = listOf(queued("org", -1), queued("org", -2, isTimeUp = true))
            RunShares(LIMIT, WAITING_LIMIT).start(items, { 0 }, { false }).map { it.item } shouldContainExactly
                listOf("org -2")
        }

        test("no more runs of a service start than may wait for a worker") {
            val items = List(MANY_ITEMS) { queued("org", it.toLong()) } + queued("org", 1, service = "other")
            val started = RunShares(LIMIT, WAITING_LIMIT).start(items, { if (it == "service") 3 else 0 }, { true })
            started.map { it.account.service }.sorted() shouldContainExactly listOf("other", "service")
        }
    }) {
    private companion object {
        const val LIMIT = 96
        const val WAITING_LIMIT = 4
        const val MANY_ITEMS = 1_500

        // Longer than all runs need to be started and the long ones to end once.
        const val SETTLE_MILLIS = 70_000L
    }
}
