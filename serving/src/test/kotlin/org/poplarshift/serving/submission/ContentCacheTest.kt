package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a cache that outgrows its maximum size. */
class ContentCacheTest :
    FunSpec({
        test("the values that were used least recently are removed when the maximum size is exceeded") {
            val cache = ContentCache(maximumBytes = 3_500)
            (0L..2L).forEach { cache.add(0, it, ByteArray(1_000)) }
            cache.find(0, 0)?.size shouldBe 1_000
            cache.add(0, 3, ByteArray(1_000))
            (0L..3L).map { cache.find(0, it) != null } shouldBe listOf(true, false, true, true)
        }

        test("a value that is added again is counted once") {
            val cache = ContentCache(maximumBytes = 10_000)
            repeat(5) { cache.add(0, 1, ByteArray(1_000)) }
            cache.add(1, 1, ByteArray(10))
            (cache.bytes < 1_500) shouldBe true
        }

        test("small values count with their entries") {
            val cache = ContentCache(maximumBytes = 100_000)
            repeat(10_000) { cache.add(0, it.toLong(), ByteArray(1)) }
            (0L until 10_000L).count { cache.find(0, it) != null } shouldBe 826
        }

        test("a value above the maximum size is not kept") {
            val cache = ContentCache(maximumBytes = 1_000)
            cache.add(0, 0, ByteArray(2_000))
            cache.find(0, 0) shouldBe null
            cache.bytes shouldBe 0
        }
    })
