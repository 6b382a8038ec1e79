package org.poplarshift.verification.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.node.dispatch.DispatchSettings

/** Guards against non-reproducible runs and against a default policy with a higher latency than the baseline. */
class RoutingRunTest :
    FunSpec({
        val scenario = RoutingScenario(seed = 7, durationSeconds = 30)
        val policy = DispatchSettings(RoutingPolicyChoice.PrefixAffinity)
        val baseline = DispatchSettings(RoutingPolicyChoice.RoundRobin, isBounded = false)

        test("two runs with the same seed have the same result") {
            RoutingRun(scenario, policy).run() shouldBe RoutingRun(scenario, policy).run()
        }

        test("the default policy has less than half of the baseline's p99 and a lower p50") {
            val policyResult = RoutingRun(scenario, policy).run()
            val baselineResult = RoutingRun(scenario, baseline).run()
            println("routing: seed 7: p99 ${policyResult.p99Millis} ms, baseline ${baselineResult.p99Millis} ms")
            policyResult.p99Millis shouldBeLessThan baselineResult.p99Millis / 2
            policyResult.p50Millis shouldBeLessThan baselineResult.p50Millis
        }
    })
