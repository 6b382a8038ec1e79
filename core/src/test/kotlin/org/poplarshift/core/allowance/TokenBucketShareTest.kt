package org.poplarshift.core.allowance

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against nodes that together admit more requests than an organisation's rate and burst allow. */
class TokenBucketShareTest :
    FunSpec({
        val seeds = 1L..20L
        seeds.forEach { seed ->
            test("ten nodes with transfers and lost messages stay within rate and burst in every window, seed $seed") {
                val random = Random(seed)
                val rate = 40.0
                val burst = 40.0
                val buckets = List(10) { TokenBucketShare(rate, burst, share = 0.1, nowMillis = 0) }
                val consumedMillis = ArrayList<Long>()
                for (now in 0L..20_000L step 5) {
                    repeat(3) {
                        if (buckets[random.nextInt(10)].tryConsume(now)) consumedMillis += now
                    }
                    if (random.nextInt(4) == 0) {
                        val lender = buckets[random.nextInt(10)]
                        val isLost = random.nextInt(10) == 0
                        val borrower = buckets[random.nextInt(10)]
                        val loan = lender.lend(
                            TokenDemand(4.0, needed = random.nextDouble(4.0), room = borrower.freeRoom(now)),
                            now,
                        )
                        if (loan != null && !isLost) borrower.deposit(loan, now, now)
                    }
                }
                val windowMillis = 5_000L
                var first = 0
                for (last in consumedMillis.indices) {
                    while (consumedMillis[last] - consumedMillis[first] >= windowMillis) first++
                    (last - first + 1).toDouble() shouldBeLessThanOrEqual rate * 5 + burst
                }
            }
        }

        test("a transfer is at most half of the available tokens and is deducted from the sender") {
            val bucket = TokenBucketShare(ratePerSecond = 10.0, burst = 10.0, share = 1.0, nowMillis = 0)
            bucket.tokens(1_000) shouldBe 10.0
            bucket.lend(TokenDemand(wanted = 100.0), nowMillis = 1_000)?.amount shouldBe 5.0
            bucket.tokens(1_000) shouldBe 5.0
        }

        test("a lower limit drops tokens above the new share") {
            val bucket = TokenBucketShare(ratePerSecond = 100.0, burst = 100.0, share = 0.5, nowMillis = 0)
            bucket.tokens(10_000) shouldBe 50.0
            bucket.update(ratePerSecond = 10.0, burst = 10.0, share = 0.5, nowMillis = 10_000)
            bucket.tokens(10_000) shouldBe 5.0
        }

        listOf(11, 91).forEach { nodes ->
            test("$nodes nodes that learn of each other after their start hold no more than the burst") {
                val buckets = List(nodes) { TokenBucketShare(RATE, BURST, share = 1.0, nowMillis = 0) }
                var known = 1
                for (now in 0L..3_000L step 250) {
                    known = minOf(nodes, known * 3)
                    buckets.forEach { it.update(RATE, BURST, 1.0 / known, now) }
                }
                buckets.sumOf { it.tokens(3_000) } shouldBeLessThanOrEqual BURST + ROUNDING
            }
        }

        test("a restarted process has no more tokens than its share refills during the restart") {
            TokenBucketShare(ratePerSecond = 40.0, burst = 400.0, share = 0.1, nowMillis = 0).tokens(0) shouldBe 2.0
        }
    }) {
    private companion object {
        const val RATE = 146.0
        const val BURST = 146.0
        const val ROUNDING = 0.001
    }
}
