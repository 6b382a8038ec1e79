package org.poplarshift.serving.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.stream.VersionRecordFormat

/**
 * Guards against nodes that forget each other in a long outage of the log. Each of them would use the whole rate limit of
 * every organisation, because the share of a node is one part of as many as there are members.
 */
class FleetMembersTest :
    FunSpec({
        class Fixture {
            var now = 100_000L
            val self = FleetMember("a", "here", "10.0.0.1:1")
            val members = FleetMembers(FakeLog(), MonotonicClock { now }, "members", self)

            fun renew(name: String) {
                val value = """{"name":"$name","zone":"here","peerAddress":"10.0.0.2:1"}"""
                members.onRecord(LogRecord(0, name, value.encodeToByteArray()))
            }

            fun readLogFor(millis: Long, renewed: List<String> = emptyList()) {
                val end = now + millis
                while (now < end) {
                    now += 1_500
                    if (now % 15_000 == 1_000L) renewed.forEach { renew(it) }
                    members.onCaughtUp()
                }
            }
        }

        data class Case(
            val name: String,
            val outageMillis: Long,
            val readMillis: Long,
            val renewed: Boolean,
            val size: Int,
        )
        listOf(
            Case("after an outage of an hour", outageMillis = 3_600_000, readMillis = 1_500, renewed = false, size = 3),
            Case("a minute after an outage", outageMillis = 3_600_000, readMillis = 75_000, renewed = true, size = 3),
            Case("gone nodes, a minute after an outage", 3_600_000, readMillis = 75_000, renewed = false, size = 1),
            Case("gone nodes without an outage", outageMillis = 0, readMillis = 75_000, renewed = false, size = 1),
        ).forEach { case ->
            test("members are kept as long as their records could not be read: ${case.name}") {
                val fixture = Fixture()
                listOf("a", "b", "c").forEach { fixture.renew(it) }
                fixture.members.onCaughtUp()
                fixture.now += case.outageMillis
                fixture.readLogFor(case.readMillis, if (case.renewed) listOf("a", "b", "c") else emptyList())
                fixture.members.size shouldBe case.size
            }
        }

        test("a node that has not read the members yet does not take itself for the only one") {
            val fixture = Fixture()
            fixture.members.assumedSize shouldBe FleetMembers.UNREAD_SIZE
            listOf("a", "b").forEach { fixture.renew(it) }
            fixture.members.onCaughtUp()
            fixture.members.assumedSize shouldBe 2
        }

        // A partition is read anew after records could not be applied. Until that succeeds, all records are missing.
        test("a node that can't read the members anew does not take itself for the only one") {
            val fixture = Fixture()
            listOf("a", "b", "c").forEach { fixture.renew(it) }
            fixture.members.onCaughtUp()
            repeat(2) {
                fixture.members.onRestart()
                fixture.now += 3_600_000
                fixture.members.assumedSize shouldBe 3
            }
            listOf("a", "b").forEach { fixture.renew(it) }
            fixture.members.assumedSize shouldBe 3
            fixture.members.onCaughtUp()
            fixture.members.assumedSize shouldBe 2
        }

        data class Spending(val name: String, val isRead: Boolean, val nodes: Int)
        listOf(
            Spending("before the first read", isRead = false, nodes = FleetMembers.UNREAD_SIZE),
            Spending("while the members are read anew", isRead = true, nodes = 3),
        ).forEach { case ->
            test("a node that can't read the members spends its share of a rate limit only: ${case.name}") {
                val fixture = Fixture()
                if (case.isRead) {
                    listOf("a", "b", "c").forEach { fixture.renew(it) }
                    fixture.members.onCaughtUp()
                }
                fixture.members.onRestart()
                val share = TokenBucketShare(RATE, BURST, 1.0 / fixture.members.assumedSize, fixture.now)
                val endMillis = fixture.now + SECONDS * 1_000
                var spent = 0
                while (fixture.now < endMillis) {
                    fixture.now++
                    // As when a new version of the configuration is applied.
                    share.update(RATE, BURST, 1.0 / fixture.members.assumedSize, fixture.now)
                    if (share.tryConsume(fixture.now)) spent++
                }
                val refilled = (SECONDS * RATE / case.nodes).toInt()
                val allowed = ((BURST + SECONDS * RATE) / case.nodes).toInt()
                spent shouldBeInRange refilled..allowed
            }
        }

        // A node of an earlier release takes the records of versions for those of members.
        test("the record of a software version is no member") {
            val fixture = Fixture()
            fixture.renew("a")
            val record = VersionRecordFormat.record(StreamOrigin("s", "1"))
            fixture.members.onRecord(LogRecord(1, record.key, record.value))
            fixture.members.onRecord(LogRecord(2, record.key, ByteArray(0)))
            fixture.members.size shouldBe 1
        }

        test("a node that has left is no member any more") {
            val fixture = Fixture()
            listOf("a", "b").forEach { fixture.renew(it) }
            fixture.members.onRecord(LogRecord(1, "b", ByteArray(0)))
            fixture.members.size shouldBe 1
        }
    }) {
    private companion object {
        const val RATE = 200.0
        const val BURST = 300.0
        const val SECONDS = 10
    }
}
