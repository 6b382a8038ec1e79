package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.Proposals
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against the loss of acknowledged submissions and against refused submissions that are stored. */
class SubmissionPartitionTest :
    FunSpec({
        var ids = 0
        val proposal = Proposals.of("s", listOf(Proposals.item("1", bodyBytes = 5_000)), organisation = "org")

        suspend fun withPartition(log: PartitionedLog, use: suspend CoroutineScope.(SubmissionPartition) -> Unit) =
            coroutineScope {
                val partition =
                    SubmissionPartition(log, MonotonicClock.SYSTEM, "t", "c", 0, TestTasks.of(this), ContentCache(0)) {
                        "id${ids++}"
                    }
                launch { partition.follower.run() }
                partition.follower.awaitStart()
                use(partition)
                coroutineContext.cancelChildren()
            }

        test(
            "a record that spans several appends is applied when complete, and another node reads the same content",
        ) {
            val log = FakeLog()
            val content = ByteArray(5_000) { it.toByte() }
            withPartition(log) { partition ->
                val result = partition.write(proposal, content)
                result.shouldBeInstanceOf<WriteResult.Applied>().effect.shouldBeInstanceOf<LedgerEffect.Accepted>()
            }
            withPartition(log) { other ->
                val body = other.ledger.find("s")?.item("1")?.body ?: error("the submission was not read")
                other.read(body)?.toList() shouldBe content.toList()
            }
        }

        test("a write whose append response is lost is confirmed by reading the record back") {
            val log = FakeLog().apply { losesResponses = true }
            withPartition(log) { it.write(proposal, ByteArray(5_000)).shouldBeInstanceOf<WriteResult.Applied>() }
        }

        test("a waiting read that misses the record does not delay the write result") {
            val log = FakeLog()
            withPartition(log) { partition ->
                // The current read returns only after its wait time of 1.5 s. A write must complete within 0.4 s.
                log.missesRecords = true
                delay(50)
                val result = withTimeoutOrNull(400) { partition.write(proposal, ByteArray(5_000)) }
                result.shouldBeInstanceOf<WriteResult.Applied>()
            }
        }

        data class AgeCase(val name: String, val wallClockMillis: Long, val ageMillis: Long)
        listOf(
            AgeCase("the time of day is right", wallClockMillis = 1_003_000, ageMillis = 3_000),
            AgeCase("the time of day has jumped ahead", wallClockMillis = 9_000_000, ageMillis = 3_000),
            AgeCase("the time of day has jumped back", wallClockMillis = 1_001_000, ageMillis = 1_000),
        ).forEach { case ->
            test("the certain age of a submission does not exceed the time since it was read: ${case.name}") {
                var now = 50_000L
                val sent = proposal.copy(firstSentMillis = 1_000_000)
                coroutineScope {
                    val partition =
                        SubmissionPartition(FakeLog(), {
                            now
                        }, "t", "c", 0, TestTasks.of(this), ContentCache(0)) { "id${ids++}" }
                    launch { partition.follower.run() }
                    partition.follower.awaitStart()
                    partition.write(sent, ByteArray(5_000)).shouldBeInstanceOf<WriteResult.Applied>()
                    now += 3_000
                    partition.certainAgeMillis(sent, case.wallClockMillis) shouldBe case.ageMillis
                    coroutineContext.cancelChildren()
                }
            }
        }

        test("a write that the log refuses leaves no submission in the ledger") {
            val log = FakeLog()
            withPartition(log) { partition ->
                log.isDown = true
                partition.write(proposal, ByteArray(5_000)).shouldBeInstanceOf<WriteResult.Refused>()
                log.isDown = false
                partition.ledger.find("s") shouldBe null
            }
        }

        // Guards against nodes that disagree on what is removed because one of them does not wait for the log.
        test("a removal that the log refuses changes nothing, and the next one includes the rejected proposals") {
            val log = FakeLog()
            fun limited(id: String) = proposal.copy(submission = id, waitingTokensLimit = 10)
            withPartition(log) { partition ->
                partition.write(limited("accepted"), ByteArray(5_000))
                    .shouldBeInstanceOf<WriteResult.Applied>().effect.shouldBeInstanceOf<LedgerEffect.Accepted>()
                partition.write(limited("rejected"), ByteArray(5_000)) shouldBe
                    WriteResult.Applied(LedgerEffect.Rejected)
                partition.write(SubmissionRecord.Result("accepted", "1", isComplete = true), ByteArray(1))
                log.isDown = true
                partition.remove(listOf("accepted")).shouldBeInstanceOf<AppendResult.Refused>()
                partition.ledger.find("accepted")?.results?.size shouldBe 1
                log.isDown = false
                partition.remove(listOf("accepted")).shouldBeInstanceOf<AppendResult.Appended>()
                eventually(5.seconds) { partition.ledger.find("accepted") shouldBe null }
            }
            withPartition(log) { other -> other.ledger.submissions.map { it.proposal.submission } shouldBe emptyList() }
        }

        listOf(50L, 400L, 1_000L).forEach { delayMillis ->
            test("the ledger is not up to date because a read returns old records after $delayMillis ms") {
                val log = FakeLog()
                withPartition(log) { partition ->
                    log.readDelayMillis = delayMillis
                    // The read that waits now returns with the first record, the next one after its wait time of 1.5 s.
                    log.append("t", 0, listOf(KeyedValue("first", byteArrayOf(1))))
                    delay(READ_PAUSE_MILLIS + 2 * delayMillis + 100)
                    log.append("t", 0, listOf(KeyedValue("second", byteArrayOf(1))))
                    val clock = TimeSource.Monotonic.markNow()
                    while (partition.follower.position < 2) {
                        val isStale = clock.elapsedNow() > MAXIMUM_AGE_MILLIS.milliseconds
                        if (isStale) partition.isCurrent(MAXIMUM_AGE_MILLIS) shouldBe false
                        delay(5)
                    }
                }
            }
        }

        test("a ledger that has caught up with a slow log is up to date for a short time") {
            val log = FakeLog().apply { readDelayMillis = 50 }
            withPartition(log) { partition ->
                delay(MAXIMUM_AGE_MILLIS + 100)
                partition.isCurrent(MAXIMUM_AGE_MILLIS) shouldBe false
                partition.catchUp() shouldBe true
                partition.isCurrent(MAXIMUM_AGE_MILLIS) shouldBe true
            }
        }

        data class CatchUpCase(val name: String, val delaysMillis: List<Long>, val isExpectedToSucceed: Boolean)
        listOf(
            CatchUpCase("all reads are fast", listOf(10), isExpectedToSucceed = true),
            CatchUpCase("the first read is slow", listOf(900, 10), isExpectedToSucceed = true),
            CatchUpCase("all reads are slow", listOf(800), isExpectedToSucceed = false),
            CatchUpCase(
                "a read takes longer than the time for catching up",
                listOf(3_000),
                isExpectedToSucceed = false,
            ),
        ).forEach { case ->
            // Guards against a response from records that were old when the read that returned them ended.
            test("a ledger that has caught up is never older than a response may be: ${case.name}") {
                val log = FakeLog()
                var delays = listOf<Long>()
                val slowLog = object : PartitionedLog by log {
                    override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult {
                        val result = log.read(topic, partition, from, waitMillis)
                        if (waitMillis == 0L && delays.isNotEmpty()) {
                            delay(delays.first())
                            delays = delays.drop(1).ifEmpty { delays }
                        }
                        return result
                    }
                }
                withPartition(slowLog) { partition ->
                    delay(MAXIMUM_AGE_MILLIS + 100)
                    delays = case.delaysMillis
                    val started = TimeSource.Monotonic.markNow()
                    val isCaughtUp = partition.catchUp()
                    (started.elapsedNow() < MAXIMUM_CATCH_UP_MILLIS.milliseconds) shouldBe true
                    isCaughtUp shouldBe case.isExpectedToSucceed
                    if (isCaughtUp) partition.isCurrent(MAXIMUM_CAUGHT_UP_AGE_MILLIS) shouldBe true
                }
            }
        }

        test("catching up fails while the log is unavailable") {
            val log = FakeLog()
            withPartition(log) { partition ->
                partition.catchUp() shouldBe true
                log.isDown = true
                partition.catchUp() shouldBe false
            }
        }
    }) {
    private companion object {
        // The pause of a partition after a read that returned records.
        const val READ_PAUSE_MILLIS = 400L
        const val MAXIMUM_AGE_MILLIS = 300L

        // A result must be listed at all nodes one second after it was read. The rest is left for the response.
        const val MAXIMUM_CAUGHT_UP_AGE_MILLIS = 750L

        // Callers time out after 1.5 s.
        const val MAXIMUM_CATCH_UP_MILLIS = 1_450L
    }
}
