package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.submission.ItemResult
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.PlainCallerProtocol
import org.poplarshift.serving.fixture.Proposals
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.TestFleet
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.ingress.CallerOperation
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.ingress.CallerRequestHead
import org.poplarshift.serving.ingress.Refusal
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.observe.CallRecord
import kotlin.time.Duration.Companion.seconds

/** Guards against items, bodies and results that are lost because a node no longer has them in memory. */
class UncachedContentTest :
    FunSpec({
        val protocol = object : CallerProtocol by PlainCallerProtocol {
            override fun encodeResults(total: Int, next: Int, results: List<ItemResult>): Buffer =
                Buffer.buffer("$next " + results.joinToString(" ") { "${it.item}=${it.output.decodeToString()}" })
        }
        val proposal = Proposals.of("s", listOf("a", "b", "c").map { Proposals.item(it, bodyBytes = 2) })
        val head = CallerRequestHead(null, null, "host", "/", null, null)

        // A node that has read a submission with the results "A" and "B" and has no cache.
        suspend fun withStore(log: PartitionedLog, use: suspend CoroutineScope.(SubmissionStore) -> Unit) =
            coroutineScope {
                val store =
                    SubmissionStore(
                        TestTasks.of(this),
                        log,
                        MonotonicClock.SYSTEM,
                        "t",
                        "c",
                        partitions = 1,
                        ContentCache(0),
                    )
                val partition = store.partitions.single()
                launch { partition.follower.run() }
                partition.follower.awaitStart()
                partition.write(proposal, "a1b2c3".encodeToByteArray())
                listOf("a", "b").forEach {
                    partition.write(
                        SubmissionRecord.Result("s", it, isComplete = true),
                        it.uppercase().encodeToByteArray(),
                    )
                }
                use(store)
                coroutineContext.cancelChildren()
            }

        data class Case(
            val name: String,
            val change: FakeLog.() -> Unit,
            val expectedRefusal: Refusal?,
            val expectedPage: String = "",
            val expectedBody: String = "",
        )
        listOf(
            Case("the log holds all records", {}, null, "2 a=A b=B", "b2"),
            Case("the records have been deleted from the log by age", { firstOffset = 3 }, null, "2 a=A b=B", "b2"),
            Case("the log is down", { isDown = true }, Refusal.LOG_UNAVAILABLE),
            Case("the log does not answer", { isSilent = true }, Refusal.LOG_UNAVAILABLE),
        ).forEach { case ->
            test("results and bodies are read from the log or refused: ${case.name}") {
                val log = FakeLog()
                withStore(log) { store ->
                    log.apply(case.change)
                    val service = SubmissionService(store, protocol, MonotonicClock.SYSTEM)
                    val page = RecordingSink()
                    val read = CallerOperation.ReadResults(head, "s", after = 0, waitMillis = 0)
                    service.read(read, null, page, CallRecord(head, "GET", 0)) shouldBe case.expectedRefusal
                    page.body.toString() shouldBe case.expectedPage
                    val body = RecordingSink()
                    val readItem = CallerOperation.ReadItem(head, "s", "b")
                    service.readItem(readItem, null, body, CallRecord(head, "GET", 0)) shouldBe case.expectedRefusal
                    body.body.toString() shouldBe case.expectedBody
                }
            }
        }

        test("a page ends before the first result that can't be read in time") {
            val log = FakeLog()
            var slowOffset = Long.MAX_VALUE
            val slowLog = object : PartitionedLog by log {
                override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult {
                    if (from == slowOffset && waitMillis == 0L) delay(2_000)
                    return log.read(topic, partition, from, waitMillis)
                }
            }
            withStore(slowLog) { store ->
                slowOffset = 2
                val page = RecordingSink()
                val read = CallerOperation.ReadResults(head, "s", after = 0, waitMillis = 0)
                SubmissionService(store, protocol, MonotonicClock.SYSTEM)
                    .read(read, null, page, CallRecord(head, "GET", 0)) shouldBe null
                page.body.toString() shouldBe "1 a=A"
            }
        }

        test("an item whose body can't be read runs when the log can be read again") {
            val fleet = TestFleet()
            try {
                fleet.publishConfiguration()
                val node = fleet.start("a", contentCacheBytes = 0)
                eventually(5.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item").statusCode() shouldBe
                        202
                }
                fleet.log.downTopics += "submissions"
                val worker = fleet.startWorker("w", ITEM_RESPONSE)
                delay(1_000)
                worker.requests.size shouldBe 0
                fleet.log.downTopics.clear()
                eventually(10.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                        .body().coAwait().toString() shouldBe "item true one"
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val ITEM_RESPONSE = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"
    }
}
