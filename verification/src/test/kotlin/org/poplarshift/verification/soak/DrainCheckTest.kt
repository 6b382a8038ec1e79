package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.caller.Call

/** Guards against a check that can't fail: no run at a leaving worker was ever reported before. */
class DrainCheckTest :
    FunSpec({
        data class Case(
            val name: String,
            val worker: String = LEAVING,
            val startMillis: Long,
            val disturbed: String? = null,
            val expected: Promise? = null,
        )

        context("runs are compared with the time at which their worker began to leave") {
            withData(
                nameFn = { it.name },
                Case("soon after the entry", startMillis = DRAIN_MILLIS + 2_000),
                Case("too late", startMillis = DRAIN_MILLIS + 2_001, expected = Promise.DRAINED_WORKER),
                Case("another worker", worker = "other", startMillis = DRAIN_MILLIS + 2_001),
                Case("a disturbed node", startMillis = DRAIN_MILLIS + 2_001, disturbed = NODE),
                Case("a disturbed store", startMillis = DRAIN_MILLIS + 2_001, disturbed = Disturbances.STORE),
                Case(
                    "another node is disturbed",
                    startMillis = DRAIN_MILLIS + 2_001,
                    disturbed = "other",
                    expected = Promise.DRAINED_WORKER,
                ),
            ) { case ->
                val ledger = SoakLedger()
                val disturbances = Disturbances()
                case.disturbed?.let { disturbances.begin(it, DRAIN_MILLIS)(DRAIN_MILLIS + 1) }
                val call = Call(ID, "GET", "/x", "host", SoakOrganisations.LASTING_KEY)
                ledger.onSent(SentCall(call, CallKind.SAFE, "free", NODE, sentMillis = case.startMillis))
                ledger.onRun(run(case.worker, case.startMillis))
                DrainCheck(ledger, disturbances).check(listOf(Drain(LEAVING, DRAIN_MILLIS)))
                ledger.violations.map { it.promise } shouldBe listOfNotNull(case.expected)
            }
        }
    }) {
    private companion object {
        const val ID = "id"
        const val NODE = "node"
        const val LEAVING = "leaving"
        const val DRAIN_MILLIS = 10_000L

        fun run(worker: String, startMillis: Long) = workerRun(ID, worker, startMillis = startMillis)
    }
}
