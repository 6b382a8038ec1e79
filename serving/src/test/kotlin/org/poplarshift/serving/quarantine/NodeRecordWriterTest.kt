package org.poplarshift.serving.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.log.ReadResult

/** Guards against a record that other nodes never get because an append of it has failed with an exception. */
@OptIn(ExperimentalCoroutinesApi::class)
class NodeRecordWriterTest :
    FunSpec({
        test("a record whose append fails with an exception is written later") {
            runTest {
                val log = FakeLog()
                var failures = 2
                log.beforeCall = { if (it == "append t" && failures-- > 0) error("planned") }
                val counted = ArrayList<String>()
                val tasks = BackgroundTasks(backgroundScope, { currentTime }) { counted += it }
                NodeRecordWriter(tasks, log, "t", "key", delayMillis = 100) { "value" }.schedule()
                advanceTimeBy(WRITE_MILLIS)
                val records = log.read("t", 0, from = 0, waitMillis = 0) as ReadResult.Records
                records.records.map { it.value.decodeToString() } shouldBe listOf("value")
                counted shouldBe listOf("record writer", "record writer")
            }
        }
    }) {
    private companion object {
        // Longer than both failed appends and their delays.
        const val WRITE_MILLIS = 5_000L
    }
}
