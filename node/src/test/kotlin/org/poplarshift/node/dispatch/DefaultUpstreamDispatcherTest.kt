package org.poplarshift.node.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.poplarshift.core.routing.LoadReport
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** Guards against leaked worker capacity, requests that wait for ever, and crashing requests that run a third time. */
class DefaultUpstreamDispatcherTest :
    FunSpec({
        val lost = Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)
        val done = Verdict.Answered(200)

        fun ticket(fingerprint: String, excluded: Set<String> = emptySet(), deadlineMillis: Long = 2_000) =
            DispatchTicket("organisation", 1.0, 100, fingerprint, "", excluded, deadlineMillis)

        suspend fun withNode(workers: Int, test: suspend (TestNode) -> Unit) {
            val node = TestNode(workers, TestNode.freePort())
            node.start()
            try {
                node.run { withTimeout(20_000) { test(node) } }
            } finally {
                node.close()
            }
        }

        suspend fun TestNode.grant(ticket: DispatchTicket): WorkerGrant =
            dispatcher.acquire(upstream, ticket).shouldBeInstanceOf<DispatchDecision.Granted>().grant

        test("a request waits until a worker has free capacity, and a cancelled request uses none") {
            withNode(workers = 1) { node ->
                node.run {
                    val grants = List(2) { node.grant(ticket("f$it")) }
                    val cancelled = async { node.grant(ticket("f2")) }
                    val waiting = async { node.grant(ticket("f3")) }
                    delay(50)
                    waiting.isCompleted shouldBe false
                    cancelled.cancel()
                    grants.first().release(done, 10)
                    grants.first().release(done, 10)
                    waiting.await().worker.id shouldBe "worker1"
                    val refused = node.dispatcher.acquire(node.upstream, ticket("f4", deadlineMillis = 50))
                    refused shouldBe DispatchDecision.Refused(RefusalReason.QUEUE_TIMEOUT, 1_000)
                }
            }
        }

        test("a leaving worker, an unreachable worker and an excluded worker receive no requests") {
            withNode(workers = 4) { node ->
                node.poller.results["worker1"] = LoadPollResult.Reported(LoadReport("worker1", 0, 0, 2, leaving = true))
                node.poller.results["worker2"] = LoadPollResult.Refused
                delay(1_000)
                val grants = List(2) { node.grant(ticket("f", excluded = setOf("worker3"))) }
                grants.map { it.worker.id }.toSet() shouldBe setOf("worker4")
                val refused = node.dispatcher.acquire(node.upstream, ticket("f", (1..4).map { "worker$it" }.toSet()))
                refused shouldBe DispatchDecision.Refused(RefusalReason.NO_WORKER, 1_000)
            }
        }

        test("a request that crashed two workers is refused, and lost connections without a crash do not count") {
            withNode(workers = 4) { node ->
                node.grant(ticket("innocent")).release(lost, null)
                node.grant(ticket("innocent")).release(lost, null)
                node.grant(ticket("innocent")).release(done, null)
                val crashedWorkers = List(2) {
                    val grant = node.grant(ticket("crash"))
                    node.poller.results[grant.worker.id] = LoadPollResult.Refused
                    grant.release(lost, null)
                    grant.awaitCrashReport()
                    grant.worker.id
                }
                crashedWorkers.toSet().size shouldBe 2
                node.dispatcher.acquire(node.upstream, ticket("crash")) shouldBe
                    DispatchDecision.Refused(RefusalReason.QUARANTINED, 0)
            }
        }

        test("peers are informed of a crash before its caller, and reserve a worker for the suspect") {
            val ports = List(2) { TestNode.freePort() }
            val nodes = ports.mapIndexed { index, port -> TestNode(2, port, ports - ports[index]) }
            nodes.forEach { it.start() }
            try {
                val first = nodes[0].run { nodes[0].grant(ticket("crash")) }
                nodes.forEach { it.poller.results[first.worker.id] = LoadPollResult.Refused }
                nodes[0].run {
                    first.release(lost, null)
                    first.awaitCrashReport()
                }
                nodes[1].run {
                    val other = nodes[1].grant(ticket("other", excluded = setOf(first.worker.id)))
                    val suspect = async { nodes[0].run { nodes[0].grant(ticket("crash")) } }
                    delay(500)
                    suspect.isCompleted shouldBe false
                    other.release(done, null)
                    val exclusive = suspect.await()
                    (exclusive.worker.id == first.worker.id) shouldBe false
                    nodes[1].dispatcher.acquire(nodes[1].upstream, ticket("other", deadlineMillis = 100)) shouldBe
                        DispatchDecision.Refused(RefusalReason.NO_WORKER, 1_000)
                    nodes[1].dispatcher.batch.batchRoom(exclusive.worker.id, headroom = 0) shouldBe 0
                    nodes[0].run { exclusive.release(done, null) }
                    nodes[1].grant(ticket("other")).worker.id shouldBe exclusive.worker.id
                }
            } finally {
                nodes.forEach { it.close() }
            }
        }

        test("batch requests use the capacity that online requests leave free, and yield when online requests arrive") {
            withNode(workers = 1) { node ->
                delay(50)
                val batch = node.dispatcher.batch
                batch.batchRoom("worker1", headroom = 1) shouldBe 1
                batch.tryAcquire(node.upstream, "worker1", "item").shouldBeInstanceOf<BatchDecision.Granted>()
                batch.batchRoom("worker1", headroom = 1) shouldBe 0
                node.grant(ticket("f"))
                batch.batchRoom("worker1", headroom = 1) shouldBe -1
                batch.onPeerDemand("worker1", running = 1)
                batch.batchRoom("worker1", headroom = 1) shouldBe -2
            }
        }
    })
