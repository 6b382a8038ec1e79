package org.poplarshift.serving.log

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog

/**
 * Guards against a node that can't reach the log while other nodes can. Such a node would serve with an outdated
 * configuration, and the items that it has completed would run again on other nodes.
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

            override suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult? =
                read(topic, partition, offset, waitMillis = 0)

            override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult? {
                calls++
                return log?.newest(topic, partition, afterKey)
            }
        }

        val record = listOf(KeyedValue("key", byteArrayOf(1)))

        data class Case(
            val name: String,
            val isDown: Boolean = false,
            val losesResponses: Boolean = false,
            val hasPeer: Boolean = true,
            val expectedResult: AppendResult,
            val expectedRelayCalls: Int,
        )
        listOf(
            Case(
                "the log is called directly while it responds",
                expectedResult = AppendResult.Appended(0),
                expectedRelayCalls = 0,
            ),
            Case(
                "a refused append is relayed through another node",
                isDown = true,
                expectedResult = AppendResult.Appended(0),
                expectedRelayCalls = 1,
            ),
            Case(
                "an append with an unknown outcome is not repeated",
                losesResponses = true,
                expectedResult = AppendResult.Unknown("answer lost"),
                expectedRelayCalls = 0,
            ),
            Case(
                "a refused append stays refused if no other node is available",
                isDown = true,
                hasPeer = false,
                expectedResult = AppendResult.Refused("down"),
                expectedRelayCalls = 1,
            ),
        ).forEach { case ->
            test(case.name) {
                val direct = FakeLog().apply {
                    isDown = case.isDown
                    losesResponses = case.losesResponses
                }
                val relay = FakeRelay(FakeLog().takeIf { case.hasPeer })
                val log = RelayedLog(direct, relay, MonotonicClock { 0 })
                log.append("topic", 0, record) shouldBe case.expectedResult
                relay.calls shouldBe case.expectedRelayCalls
                log.isReachable shouldBe (case.expectedResult == AppendResult.Appended(0) && !case.isDown)
            }
        }

        test("reads are relayed through another node until the log responds again") {
            var nowMillis = 0L
            val direct = FakeLog()
            val relay = FakeRelay(direct)
            val unreachable = FakeLog().apply { isDown = true }
            val log = RelayedLog(unreachable, relay, MonotonicClock { nowMillis })
            direct.append("topic", 0, record)
            repeat(2) {
                (log.read("topic", 0, from = 0, waitMillis = 10) as ReadResult.Records).records.size shouldBe 1
                (log.newest("topic", 0, afterKey = null) as NewestResult.Page).records.size shouldBe 1
            }
            relay.calls shouldBe 4
            unreachable.isDown = false
            nowMillis = 2_000
            (log.read("topic", 0, from = 0, waitMillis = 10) as ReadResult.Records).records.size shouldBe 0
            relay.calls shouldBe 4
            log.isReachable shouldBe true
        }

        test("a page of a large topic that is late is not relayed and does not divert other calls") {
            val relay = FakeRelay(FakeLog())
            val direct = FakeLog().apply { downTopics += "large" }
            val log = RelayedLog(direct, relay, MonotonicClock { 0 }, largeTopics = setOf("large"))
            log.newest("large", 0, afterKey = null) shouldBe NewestResult.Unavailable("down")
            log.read("topic", 0, from = 0, waitMillis = 0)
            log.isReachable shouldBe true
            relay.calls shouldBe 0
        }
    })
