package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against requests to full, draining, unreachable or replaced workers while others have free slots. */
class LoadBalancerTest :
    FunSpec({
        fun worker(id: String, zone: String = "here", isDraining: Boolean = false, startedMillis: Long = 1) =
            FleetWorker(id, "service", "10.0.0.1:80", zone, slots = 2, isDraining, startedMillis)

        fun balancer(vararg workers: FleetWorker) = LoadBalancer("here") { 0.0 }.apply { update(workers.toList()) }

        test("the least loaded worker is chosen, and among equally loaded ones that of the own zone") {
            val balancer = balancer(worker("far", zone = "there"), worker("near"))
            balancer.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0)?.worker?.id shouldBe "near"
            balancer.state("near")?.onSent(isBatch = false)
            balancer.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0)?.worker?.id shouldBe "far"
        }

        test("a worker's own report counts as load until it decays") {
            val balancer = balancer(worker("a"))
            balancer.state("a")?.onLoadReport(requests = 2, nowMillis = 0)
            balancer.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0) shouldBe null
            balancer.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 1_000)?.worker?.id shouldBe "a"
        }

        test("draining, excluded and suspect workers are skipped") {
            val balancer =
                balancer(worker("draining", isDraining = true), worker("excluded"), worker("suspect"), worker("good"))
            balancer.state("suspect")?.onUnreachable()
            balancer.choose("service", headroom = 0, excluded = setOf("excluded"), nowMillis = 0)?.worker?.id shouldBe
                "good"
            balancer.hasWorker("service", excluded = setOf("excluded", "good")) shouldBe false
        }

        // Requests reached workers of zones that the operator had evacuated.
        test("workers of an evacuated zone are skipped until the evacuation ends, also those that register meanwhile") {
            val balancer = balancer(worker("left", zone = "there"), worker("stays"))
            balancer.evacuate(setOf("there"), nowMillis = 0)
            balancer.update(listOf(worker("left", "there"), worker("stays"), worker("new", "there")))
            balancer.available("service").map { it.worker.id } shouldBe listOf("stays")
            balancer.mayEject(balancer.state("stays")!!) shouldBe false
            balancer.evacuate(emptySet(), nowMillis = 0)
            balancer.available("service").map { it.worker.id }.toSet() shouldBe setOf("left", "stays", "new")
        }

        data class RateLimitCase(val name: String, val use: SlotUse, val load: Int, val expected: String)
        listOf(
            RateLimitCase("an online request avoids", SlotUse.ONLINE, load = 0, expected = "free"),
            RateLimitCase("an online request uses, as the other is over half full,", SlotUse.ONLINE, 3, "limited"),
            RateLimitCase("a batch item uses", SlotUse.BATCH, load = 0, expected = "limited"),
            RateLimitCase("an urgent batch item uses", SlotUse.URGENT_BATCH, load = 0, expected = "limited"),
        ).forEach { case ->
            test("${case.name} a worker with a rate limit") {
                val balancer = LoadBalancer("here") { 0.0 }.apply {
                    update(listOf("free", "limited").map { worker(it).copy(slots = 4) })
                }
                balancer.state("limited")?.onRateLimit(requestsPerSecond = 5.0, nowMillis = 0)
                repeat(case.load) { balancer.state("free")?.onSent(isBatch = false) }
                balancer.choose("service", headroom = 0, emptySet(), nowMillis = 1_000, case.use)?.worker?.id shouldBe
                    case.expected
            }
        }

        test("a worker answers twenty requests in a row with an invalid status before it is excluded") {
            val state = WorkerState(worker("a"))
            repeat(19) { state.onInvalidStatus() shouldBe false }
            state.onReachable()
            repeat(19) { state.onInvalidStatus() shouldBe false }
            state.isAvailable shouldBe true
            state.onInvalidStatus() shouldBe true
        }

        test("three consecutive lost connections make a worker suspect, fewer do not") {
            val state = WorkerState(worker("a"))
            repeat(2) { state.onConnectionLost() }
            state.isSuspect shouldBe false
            state.onReachable()
            repeat(3) { state.onConnectionLost() }
            state.isSuspect shouldBe true
        }

        test("the state of a worker survives a registry update, but not a restart under the same id") {
            val balancer = balancer(worker("a"))
            balancer.state("a")?.onSent(isBatch = false)
            balancer.update(listOf(worker("a", isDraining = true)))
            balancer.state("a")?.online shouldBe 1
            balancer.update(listOf(worker("a", startedMillis = 2)))
            balancer.state("a")?.online shouldBe 0
        }
    })
