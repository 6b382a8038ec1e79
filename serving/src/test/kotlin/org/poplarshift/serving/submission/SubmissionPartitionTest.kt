package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.ProposedItem
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog

/** Guards against acknowledged submissions that are lost, and refused ones that are kept. */
class SubmissionPartitionTest :
    FunSpec({
        var ids = 0
        val proposal = SubmissionRecord.Proposed(
            submission = "s",
            organisation = "org",
            route = "route",
            host = "host",
            service = "service",
            waitingTokensLimit = 0,
            firstSentMillis = 0,
            dueMillis = 1_000,
            abandonMillis = 2_000,
            maximumAttempts = 3,
            items = listOf(ProposedItem("1", "/1", emptyMap(), tokens = 10, bodyBytes = 5_000)),
        )

        suspend fun withPartition(log: FakeLog, use: suspend CoroutineScope.(SubmissionPartition) -> Unit) =
            coroutineScope {
                val partition = SubmissionPartition(log, MonotonicClock.SYSTEM, "t", 0, this) { "id${ids++}" }
                launch { partition.follower.run() }
                partition.follower.awaitStart()
                use(partition)
                coroutineContext.cancelChildren()
            }

        test("a record of several appends is applied once all of it is there, and another node reads the same") {
            val log = FakeLog()
            withPartition(log) { partition ->
                val result = partition.write(proposal, ByteArray(5_000) { 7 })
                result.shouldBeInstanceOf<WriteResult.Applied>().effect.shouldBeInstanceOf<LedgerEffect.Accepted>()
            }
            withPartition(log) { other -> other.ledger.find("s")?.item("1")?.body?.size shouldBe 5_000 }
        }

        test("a lost answer is settled by reading the record back") {
            val log = FakeLog().apply { losesResponses = true }
            withPartition(log) { it.write(proposal, ByteArray(5_000)).shouldBeInstanceOf<WriteResult.Applied>() }
        }

        test("a waiting read that misses the record does not hold the answer up") {
            val log = FakeLog()
            withPartition(log) { partition ->
                // The read that waits now comes back only after its 1.5 s; a submission is to be accepted within 0.4 s.
                log.missesRecords = true
                delay(50)
                val result = withTimeoutOrNull(400) { partition.write(proposal, ByteArray(5_000)) }
                result.shouldBeInstanceOf<WriteResult.Applied>()
            }
        }

        test("what the log refuses leaves nothing behind") {
            val log = FakeLog()
            withPartition(log) { partition ->
                log.isDown = true
                partition.write(proposal, ByteArray(5_000)).shouldBeInstanceOf<WriteResult.Refused>()
                log.isDown = false
                partition.ledger.find("s") shouldBe null
            }
        }

        test("a node that can't ask the log is not sure that it knows everything") {
            val log = FakeLog()
            withPartition(log) { partition ->
                partition.confirm() shouldBe true
                log.isDown = true
                partition.confirm() shouldBe false
            }
        }
    })
