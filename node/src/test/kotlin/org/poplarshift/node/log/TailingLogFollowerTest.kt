package org.poplarshift.node.log

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.poplarshift.node.fixture.FakeLogService
import org.poplarshift.node.fixture.LogConnection
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogService
import org.poplarshift.ports.ReadResult
import org.poplarshift.serving.MonotonicClock

/** Guards against a follower that stops, applies a record twice or polls in a tight loop. */
class TailingLogFollowerTest :
    FunSpec({
        test("a record that can't be applied is skipped, and no record is lost or repeated after an outage") {
            val connection = LogConnection(FakeLogService())
            repeat(5) { connection.append("s", "record $it") }
            val follower = TailingLogFollower(connection, "s", MonotonicClock.SYSTEM, waitMillis = 50, retryMillis = 10)
            val applied = mutableListOf<Long>()
            coroutineScope {
                val followJob = launch {
                    follower.follow {
                        check(it.offset != 2L) { "record 2 can't be applied" }
                        applied += it.offset
                    }
                }
                withTimeout(5_000) {
                    follower.awaitApplied(4)
                    connection.isCutOff = true
                    delay(300)
                    connection.isCutOff = false
                    connection.append("s", "after the outage")
                    follower.awaitApplied(5)
                }
                followJob.cancel()
            }
            applied shouldBe listOf(0L, 1L, 3L, 4L, 5L)
        }

        test("a log that responds without waiting is not polled in a tight loop") {
            var reads = 0
            val nonWaitingLog = object : LogService {
                override suspend fun append(stream: String, record: String) = AppendResult.Refused("")

                override suspend fun read(
                    stream: String,
                    fromOffset: Long,
                    maximumRecords: Int,
                    waitMillis: Long,
                ): ReadResult {
                    reads++
                    return ReadResult.Records(emptyList(), fromOffset, 0)
                }
            }
            coroutineScope {
                val followJob = launch { TailingLogFollower(nonWaitingLog, "s", MonotonicClock.SYSTEM).follow { } }
                delay(500)
                followJob.cancel()
            }
            reads shouldBeLessThan 10
        }
    })
