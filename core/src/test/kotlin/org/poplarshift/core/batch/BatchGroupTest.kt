package org.poplarshift.core.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonNull
import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.verdict.RunStatus

/** Guards against too many appends per upload and against an uneven distribution of jobs over slots. */
class BatchGroupTest :
    FunSpec({
        test("an upload of 66,000 items takes 330 appends") {
            val chunker = UploadChunker()
            val chunks = (0 until 66_000).mapNotNull {
                chunker.add(BatchItem(it, "id$it", JsonNull), lineBytes = 1_000)
            }
            (chunks.size + 1) shouldBe 330
            (chunks + listOf(chunker.take())).flatten().map { it.index } shouldBe (0 until 66_000).toList()
        }

        test("buffered results are due when the buffer is full or the first result has waited for the linger time") {
            val buffer = ResultBuffer("upload", maximumResults = 2, maximumBytes = 100, lingerMillis = 200)
            val result = ItemResult(0, "id", ItemOutcome.DONE, RunStatus.RAN)
            buffer.dueMillis() shouldBe null
            buffer.add(result, resultBytes = 10, nowMillis = 5)
            buffer.dueMillis() shouldBe 205
            buffer.add(result, resultBytes = 95, nowMillis = 6)
            buffer.dueMillis() shouldBe 5
            buffer.take().size shouldBe 1
        }

        test("jobs are distributed evenly over the slots of all zones") {
            val zones = listOf("a", "b", "c").map { AvailabilityZone(name = it, region = "region", slots = 3) }
            val catalogue = Catalogue(zones = zones, organisations = emptyList(), upstreams = emptyList())
            val counts = (1..9_000).groupingBy { HomeSlot.of(catalogue, JobKey("organisation", "job$it")) }.eachCount()
            counts.size shouldBe 9
            counts.values.forEach { it.toLong() shouldBeInRange 850L..1_150L }
        }
    })
