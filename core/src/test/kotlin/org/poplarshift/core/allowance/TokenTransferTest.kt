package org.poplarshift.core.allowance

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/**
 * Guards against transfers that let the lender refill what the borrower still holds, so that all nodes together hold more
 * than the burst or consume more than rate and burst in some window.
 */
class TokenTransferTest :
    FunSpec({
        data class Case(val nodes: Int, val rate: Double, val burst: Double)

        listOf(
            Case(11, 146.0, 146.0),
            Case(91, 146.0, 146.0),
            Case(11, 22.0, 40.0),
            Case(11, 5.0, 5.0),
            Case(91, 5.0, 10.0),
            Case(91, 2.0, 1.0),
        ).forEach { case ->
            listOf(0, 20).forEach { delayMillis ->
                test("tokens held and on their way to one node stay within the burst, $case, delay $delayMillis ms") {
                    val fleet = Fleet(case.nodes, case.rate, case.burst, Random(case.nodes))
                    for (now in 0L..20_000L step 5) {
                        fleet.now = now
                        repeat(4) { fleet.lend(1 + fleet.random.nextInt(case.nodes - 1), 0, delayMillis) }
                        fleet.deliver()
                        fleet.total() shouldBeLessThanOrEqual case.burst + ROUNDING
                    }
                }
            }
        }

        test("a node gets the burst of all nodes and afterwards the rate of all nodes") {
            listOf(11, 91).forEach { nodes ->
                val fleet = Fleet(nodes, rate = 146.0, burst = 146.0, Random(1))
                val warmUpMillis = 5_000L
                fleet.now = warmUpMillis
                fleet.total()
                var consumed = 0
                for (now in warmUpMillis..warmUpMillis + 10_000 step 5) {
                    fleet.now = now
                    fleet.deliver()
                    while (fleet.buckets[0].tryConsume(now)) consumed++
                    repeat(4) { fleet.lend(1 + fleet.random.nextInt(nodes - 1), 0, delayMillis = 5) }
                }
                // 146 at once and 1,460 in ten seconds, less the tokens that stay at the lenders.
                (consumed in 1_400..1_606) shouldBe true
            }
        }

        (1L..60L).forEach { seed ->
            test("sequences of requests, loans, lost replies, restarts and frozen nodes keep the limit, seed $seed") {
                val random = Random(seed)
                // In some seeds the share of a node is less than one token.
                val rate = random.nextDouble(1.0, 200.0)
                val maximumBurst = if (seed % 3 == 0L) NODES.toDouble() else 200.0
                val burst = random.nextDouble(1.0, maximumBurst)
                val fleet = Fleet(NODES, rate, burst, random)
                // The fresh processes of a fleet that was idle before count as full.
                var level = burst
                repeat(STEPS) {
                    if (it % PHASE_STEPS == 0) fleet.startPhase()
                    val elapsed = random.nextLong(0, 40)
                    fleet.now += elapsed
                    level = minOf(burst, level + rate * elapsed / MILLIS_PER_SECOND)
                    level -= fleet.step()
                    // The level of one bucket for all nodes never falls below 0, so that every window keeps the limit.
                    level shouldBeGreaterThanOrEqual -ROUNDING
                    // In other seeds most nodes are not read, so that they refill over longer times.
                    if (seed % 2 == 0L || it % 50 == 0) fleet.total() shouldBeLessThanOrEqual burst + ROUNDING
                }
            }
        }

        test("a loan that is not used returns to the lender at the rate of its refill") {
            val lender = TokenBucketShare(ratePerSecond = 20.0, burst = 40.0, share = 0.5, nowMillis = 0)
            val borrower = TokenBucketShare(ratePerSecond = 20.0, burst = 40.0, share = 0.5, nowMillis = 0)
            lender.tokens(10_000) shouldBe 20.0
            borrower.tokens(10_000) shouldBe 20.0
            borrower.deposit(lender.lend(TokenDemand(5.0), 10_000).shouldNotBeNull(), 10_000, 10_000)
            listOf(10_000L to 5.0, 10_250L to 2.5, 10_500L to 0.0).forEach { (now, onLoan) ->
                lender.tokens(now) shouldBe 20.0 - onLoan
                borrower.tokens(now) shouldBe 20.0 + onLoan
            }
        }

        test("a second loan is held until the first one has returned") {
            val lender = TokenBucketShare(ratePerSecond = 10.0, burst = 20.0, share = 1.0, nowMillis = 0)
            lender.tokens(10_000)
            lender.lend(TokenDemand(5.0), 10_000) shouldBe
                TokenLoan(5.0, 0.0, holdMillis = 0.0, returnMillis = 500.0)
            lender.lend(TokenDemand(2.0), 10_200) shouldBe
                TokenLoan(2.0, 0.0, holdMillis = 300.0, returnMillis = 200.0)
        }

        test("a restarted lender does not use the room that its predecessor lent") {
            val nodes =
                MutableList(2) { TokenBucketShare(ratePerSecond = 20.0, burst = 40.0, share = 0.5, nowMillis = 0) }
            nodes.forEach { it.tokens(10_000) shouldBe 20.0 }
            repeat(3) { nodes[1].deposit(nodes[0].lend(TokenDemand(20.0), 10_000).shouldNotBeNull(), 10_000, 10_000) }
            nodes[0] = TokenBucketShare(ratePerSecond = 20.0, burst = 40.0, share = 0.5, nowMillis = 10_500)
            val room = nodes[0].freeRoom(10_500)
            nodes[0].deposit(nodes[1].lend(TokenDemand(20.0, room = room), 10_500).shouldNotBeNull(), 10_500, 10_500)
            for (now in 10_500L..13_000L step 100) {
                nodes.sumOf { it.tokens(now) } shouldBeLessThanOrEqual 40.0 + ROUNDING
            }
        }

        test("a loan that arrives after its end adds no token") {
            val borrower = TokenBucketShare(ratePerSecond = 20.0, burst = 40.0, share = 0.5, nowMillis = 0)
            borrower.tokens(10_000)
            repeat(20) { borrower.tryConsume(10_000) }
            borrower.deposit(TokenLoan(5.0, 0.0, holdMillis = 100.0, returnMillis = 500.0), 9_400, 10_000)
            borrower.tokens(10_000) shouldBe 0.0
        }
    }) {
    private class Message(val loan: TokenLoan, val borrower: Int, val requestedMillis: Long, val arrivalMillis: Long)

    private class Fleet(val nodes: Int, val rate: Double, val burst: Double, val random: Random) {
        var now = 0L
        val buckets = MutableList(nodes) { TokenBucketShare(rate, burst, 1.0 / nodes, nowMillis = 0) }
        private val messages = ArrayList<Message>()
        private val unavailableUntilMillis = LongArray(nodes)
        private val stoppedUntilMillis = LongArray(nodes)
        private var requestPercent = 0
        private var borrower = 0

        /** Tokens that may be spent or are on their way. */
        fun total(): Double =
            buckets.withIndex().sumOf { (node, bucket) -> if (isStopped(node)) 0.0 else bucket.tokens(now) } +
                messages.sumOf { it.loan.remaining(now - it.requestedMillis) }

        fun lend(lender: Int, borrower: Int, delayMillis: Int) {
            val loan = buckets[lender].lend(demand(buckets[borrower].freeRoom(now)), now) ?: return
            messages += Message(loan, borrower, now, now + delayMillis)
        }

        // Requests that need all of the tokens, some of them or none.
        private fun demand(room: Double) = TokenDemand(4.0, needed = random.nextInt(3) * 2.0, room = room)

        fun deliver() {
            val arrived = messages.filter { it.arrivalMillis <= now && isAvailable(it.borrower) }
            messages.removeAll(arrived)
            arrived.forEach { buckets[it.borrower].deposit(it.loan, it.requestedMillis, now) }
        }

        /** Changes how much is requested, so that full nodes lend as well as empty ones, and which node borrows most. */
        fun startPhase() {
            requestPercent = listOf(0, 5, 50).random(random)
            borrower = random.nextInt(nodes)
        }

        /** Lets one event happen and returns the number of tokens consumed. */
        fun step(): Int {
            deliver()
            val node = if (random.nextInt(4) > 0) borrower else random.nextInt(nodes)
            if (!isAvailable(node)) return 0
            val event = random.nextInt(100)
            when {
                event <= 1 -> restart(random.nextInt(nodes))
                event == 2 -> unavailableUntilMillis[node] = now + random.nextLong(5_000)
                event < requestPercent -> return (1..random.nextInt(1, 20)).count { buckets[node].tryConsume(now) }
                else -> lendToAnyNode(node)
            }
            return 0
        }

        private fun lendToAnyNode(borrower: Int) {
            val lender = random.nextInt(nodes)
            if (lender == borrower || !isAvailable(lender)) return
            val delayMillis = if (random.nextInt(10) == 0) random.nextInt(3_000) else random.nextInt(20)
            val loan = buckets[lender].lend(demand(borrowerRoom(borrower)), now) ?: return
            val requestedMillis = now - random.nextInt(20)
            val isLost = random.nextInt(10) == 0
            if (!isLost) messages += Message(loan, borrower, requestedMillis, now + delayMillis)
        }

        // The room that a borrower has stated may have changed until its request arrives.
        private fun borrowerRoom(node: Int): Double =
            if (random.nextBoolean()) buckets[node].freeRoom(now) else random.nextDouble(4.0)

        private fun restart(node: Int) {
            messages.removeAll { it.borrower == node }
            val startMillis = now + MINIMUM_RESTART_MILLIS + random.nextLong(2_000)
            buckets[node] = TokenBucketShare(rate, burst, 1.0 / nodes, startMillis)
            unavailableUntilMillis[node] = startMillis
            stoppedUntilMillis[node] = startMillis
        }

        private fun isAvailable(node: Int) = unavailableUntilMillis[node] <= now

        private fun isStopped(node: Int) = stoppedUntilMillis[node] > now
    }

    private companion object {
        const val NODES = 11
        const val STEPS = 4_000
        const val PHASE_STEPS = 25
        const val MILLIS_PER_SECOND = 1_000.0
        const val MINIMUM_RESTART_MILLIS = 500L
        const val ROUNDING = 0.001
    }
}
