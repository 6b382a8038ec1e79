package org.poplarshift.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual

/**
 * Guards against a worker that gets more requests than its rate limit allows because several schedulers, or nodes without
 * one, send it requests at the same time.
 */
class RateLimitSharesTest :
    FunSpec({
        data class Case(val name: String, val preferred: Int, val standby: Int, val alone: Int, val nodes: Int)
        listOf(
            Case("one scheduler", preferred = 1, standby = 0, alone = 0, nodes = 9),
            Case("a scheduler that some nodes can't reach", preferred = 1, standby = 1, alone = 0, nodes = 9),
            Case("all nodes of a zone run a scheduler", preferred = 1, standby = 2, alone = 0, nodes = 9),
            Case("a scheduler and some nodes without one", preferred = 1, standby = 0, alone = 6, nodes = 9),
            Case("no node has a scheduler", preferred = 0, standby = 0, alone = 95, nodes = 95),
        ).forEach { case ->
            test("all senders together keep to the limit of a worker: ${case.name}") {
                for (limit in listOf(0.0, 0.5, 2.0, 7.0, 40.0)) {
                    val shares = List(case.preferred) { RateLimitShares.ofScheduler(isPreferred = true) } +
                        List(case.standby) { RateLimitShares.ofScheduler(isPreferred = false) } +
                        List(case.alone) { RateLimitShares.ofNode(case.nodes) }
                    val pacers = shares.map { share -> RequestPacer(limit, { share }, 0) }
                    var sent = 0
                    for (now in QUIET_MILLIS..QUIET_MILLIS + WINDOW_MILLIS) {
                        for (pacer in pacers) {
                            if (pacer.available(now) < 1.0) continue
                            pacer.onSent(now)
                            sent++
                        }
                    }
                    val allowed = OVERAGE * limit * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS
                    withClue("limit $limit") { sent.toDouble() shouldBeLessThanOrEqual allowed }
                }
            }
        }
    }) {
    private companion object {
        // Time without requests before the window, in which senders save up what they may send at once.
        const val QUIET_MILLIS = 2_000L

        // The users' rule: in 4 s at most one and a half times what the limit allows, and five requests.
        const val WINDOW_MILLIS = 4_000L
        const val OVERAGE = 1.5
        const val SLACK_REQUESTS = 5.0
    }
}
