package org.poplarshift.core.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonNull
import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.verdict.RunStatus

/** Guards the bound on appends and the even spread of jobs over slots. */
class BatchGroupTest :
    FunSpec({
        test("66,000 items are a few hundred appends") {
            val group = UploadChunker()
            val chunks = (0 until 66_000).mapNotNull { group.add(BatchItem(it, "id$it", JsonNull), lineBytes = 1_000) }
            (chunks.size + 1) shouldBe 330
            (chunks + listOf(group.take())).flatten().map { it.index } shouldBe (0 until 66_000).toList()
        }

        test("a group of results is due when it is full or its first result has waited long enough") {
            val group = ResultBuffer("upload", maximumResults = 2, maximumBytes = 100, lingerMillis = 200)
            val result = ItemResult(0, "id", ItemOutcome.DONE, RunStatus.RAN)
            group.dueMillis() shouldBe null
            group.add(result, resultBytes = 10, nowMillis = 5)
            group.dueMillis() shouldBe 205
            group.add(result, resultBytes = 95, nowMillis = 6)
            group.dueMillis() shouldBe 5
            group.take().size shouldBe 1
        }

        test("jobs spread evenly over the slots of all zones") {
            val zones = listOf("a", "b", "c").map { AvailabilityZone(name = it, region = "region", slots = 3) }
            val catalogue = Catalogue(zones = zones, organisations = emptyList(), upstreams = emptyList())
            val counts = (1..9_000).groupingBy { HomeSlot.of(catalogue, JobKey("organisation", "job$it")) }.eachCount()
            counts.size shouldBe 9
            counts.values.forEach { it.toLong() shouldBeInRange 850L..1_150L }
        }
    })
