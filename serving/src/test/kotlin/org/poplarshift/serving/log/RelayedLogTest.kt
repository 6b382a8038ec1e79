package org.poplarshift.serving.log

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog

/**
 * Guards against a node that the log turns away while it serves others: it would go on with an old configuration, and what
 * its runs have produced would be produced again elsewhere.
 */
class RelayedLogTest :
    FunSpec({
        class FakeRelay(private val log: FakeLog?) : LogRelay {
            var calls = 0

            override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult? {
                calls++
                return log?.append(topic, partition, records)
            }

            override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult? {
                calls++
                return log?.read(topic, partition, from, waitMillis)
            }

            override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult? {
                calls++
                return log?.newest(topic, partition, afterKey)
            }
        }

        val record = listOf(KeyedValue("key", byteArrayOf(1)))

        data class Case(
            val name: String,
            val isDown: Boolean = false,
            val losesAnswers: Boolean = false,
            val hasPeer: Boolean = true,
            val appended: AppendResult,
            val relayed: Int,
        )
        listOf(
            Case("the log itself is used while it answers", appended = AppendResult.Appended(0), relayed = 0),
            Case(
                "a refused append goes through another node",
                isDown = true,
                appended = AppendResult.Appended(0),
                relayed = 1,
            ),
            Case(
                "an append that may be done is not done again",
                losesAnswers = true,
                appended = AppendResult.Unknown("answer lost"),
                relayed = 0,
            ),
            Case(
                "without another node the refusal stands",
                isDown = true,
                hasPeer = false,
                appended = AppendResult.Refused("down"),
                relayed = 1,
            ),
        ).forEach { case ->
            test(case.name) {
                val own = FakeLog().apply {
                    isDown = case.isDown
                    losesResponses = case.losesAnswers
                }
                val relay = FakeRelay(FakeLog().takeIf { case.hasPeer })
                val log = RelayedLog(own, relay, MonotonicClock { 0 })
                log.append("topic", 0, record) shouldBe case.appended
                relay.calls shouldBe case.relayed
                log.isReachable shouldBe (case.appended == AppendResult.Appended(0) && !case.isDown)
            }
        }

        test("reads go through another node until the log answers again") {
            var nowMillis = 0L
            val own = FakeLog()
            val relay = FakeRelay(own)
            val turnedAway = FakeLog().apply { isDown = true }
            val log = RelayedLog(turnedAway, relay, MonotonicClock { nowMillis })
            own.append("topic", 0, record)
            repeat(2) {
                (log.read("topic", 0, from = 0, waitMillis = 10) as ReadResult.Records).records.size shouldBe 1
                (log.newest("topic", 0, afterKey = null) as NewestResult.Page).records.size shouldBe 1
            }
            relay.calls shouldBe 4
            turnedAway.isDown = false
            nowMillis = 2_000
            (log.read("topic", 0, from = 0, waitMillis = 10) as ReadResult.Records).records.size shouldBe 0
            relay.calls shouldBe 4
            log.isReachable shouldBe true
        }
    })
