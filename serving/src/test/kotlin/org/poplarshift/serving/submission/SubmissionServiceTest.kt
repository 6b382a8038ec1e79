package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.poplarshift.core.submission.ItemResult
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.PlainCallerProtocol
import org.poplarshift.serving.fixture.Proposals
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.ingress.CallerOperation
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.ingress.CallerRequestHead
import org.poplarshift.serving.observe.CallRecord

/** Guards against pages of results that contradict what another node has shown the caller. */
class SubmissionServiceTest :
    FunSpec({
        val protocol = object : CallerProtocol by PlainCallerProtocol {
            override fun encodeResults(total: Int, next: Int, results: List<ItemResult>): Buffer =
                Buffer.buffer("total $total, next $next, items ${results.map { it.item }}")
        }
        val proposal = Proposals.of("s", listOf("a", "b", "c").map { Proposals.item(it) })

        data class Case(val after: Int, val expectedPage: String)
        listOf(
            Case(after = -1, expectedPage = "total 3, next 2, items [a, b]"),
            Case(after = 0, expectedPage = "total 3, next 2, items [a, b]"),
            Case(after = 1, expectedPage = "total 3, next 2, items [b]"),
            Case(after = 2, expectedPage = "total 3, next 2, items []"),
            Case(after = 3, expectedPage = "total 3, next 3, items []"),
        ).forEach { case ->
            // Guards against a `next` that points back at results that the caller has already read at another node.
            test("a page continues at the position that was asked for, ${case.after} of 2 results") {
                val log = FakeLog()
                coroutineScope {
                    var ids = 0
                    val tasks = TestTasks.of(this)
                    val partition =
                        SubmissionPartition(log, MonotonicClock.SYSTEM, "t", "c", 0, tasks, ContentCache(0)) {
                            "id${ids++}"
                        }
                    val store =
                        SubmissionStore(tasks, log, MonotonicClock.SYSTEM, "t", "c", partitions = 1, ContentCache(0))
                    listOf(partition, store.partitions.single()).forEach {
                        launch { it.follower.run() }
                        it.follower.awaitStart()
                    }
                    partition.write(proposal, ByteArray(proposal.items.size))
                    listOf("a", "b").forEach {
                        partition.write(SubmissionRecord.Result("s", it, isComplete = true), ByteArray(1))
                    }
                    store.partitions.single().catchUp() shouldBe true
                    val head = CallerRequestHead(null, null, "host", "/results/s", null, null)
                    val sink = RecordingSink()
                    val refusal = SubmissionService(store, protocol, MonotonicClock.SYSTEM).read(
                        CallerOperation.ReadResults(head, "s", case.after, waitMillis = 0),
                        organisation = null,
                        sink,
                        CallRecord(head, "GET", receivedMillis = 0),
                    )
                    refusal shouldBe null
                    sink.body.toString() shouldBe case.expectedPage
                    coroutineContext.cancelChildren()
                }
            }
        }
    })
