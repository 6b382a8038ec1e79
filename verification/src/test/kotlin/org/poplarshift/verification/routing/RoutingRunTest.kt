package org.poplarshift.verification.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.node.dispatch.DispatchSettings

/** Guards against a comparison that can't be repeated, and against a default policy that loses to the baseline. */
class RoutingRunTest :
    FunSpec({
        val scenario = RoutingScenario(seed = 7, durationSeconds = 30)
        val policy = DispatchSettings(RoutingPolicyChoice.PrefixAffinity)
        val baseline = DispatchSettings(RoutingPolicyChoice.RoundRobin, isBounded = false)

        test("a run with the same seed has the same result") {
            RoutingRun(scenario, policy).run() shouldBe RoutingRun(scenario, policy).run()
        }

        test("the default policy has at most half of the baseline's p99 and a lower p50") {
            val ours = RoutingRun(scenario, policy).run()
            val theirs = RoutingRun(scenario, baseline).run()
            println("routing: seed 7: p99 ${ours.p99Millis} ms, baseline ${theirs.p99Millis} ms")
            ours.p99Millis shouldBeLessThan theirs.p99Millis / 2
            ours.p50Millis shouldBeLessThan theirs.p50Millis
        }
    })
