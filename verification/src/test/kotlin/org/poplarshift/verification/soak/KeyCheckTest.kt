package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.caller.Call

/**
 * Guards against a check that excuses nearly every call: a build that honoured keys for ever was not found, because any
 * disturbance after the withdrawal excused all later calls.
 */
class KeyCheckTest :
    FunSpec({
        data class Case(
            val name: String,
            val key: String = WITHDRAWN_KEY,
            val sentMillis: Long = WITHDRAWN_MILLIS + 2_001,
            val runMillis: Long? = sentMillis + 10,
            val disturbed: String? = null,
            val disturbedMillis: LongRange = WITHDRAWN_MILLIS..WITHDRAWN_MILLIS + 1,
            val isChecked: Boolean = false,
            val isViolation: Boolean = isChecked,
        )

        context("calls are compared with the time at which their key was withdrawn") {
            withData(
                nameFn = { it.name },
                Case("soon after the withdrawal", sentMillis = WITHDRAWN_MILLIS + 2_000),
                Case("too late", isChecked = true),
                Case("another key", key = SoakOrganisations.LASTING_KEY),
                Case("refused", runMillis = null, isChecked = true, isViolation = false),
                Case("a disturbed node", disturbed = NODE),
                Case("a disturbed store", disturbed = Disturbances.STORE),
                Case("another node is disturbed", disturbed = "other", isChecked = true),
                Case(
                    "a node that was disturbed until just less than 3 s before",
                    sentMillis = WITHDRAWN_MILLIS + 10_000,
                    disturbed = NODE,
                    disturbedMillis = WITHDRAWN_MILLIS..WITHDRAWN_MILLIS + 7_000,
                ),
                Case(
                    "a node that was disturbed until 3 s before",
                    sentMillis = WITHDRAWN_MILLIS + 10_001,
                    disturbed = NODE,
                    disturbedMillis = WITHDRAWN_MILLIS..WITHDRAWN_MILLIS + 7_000,
                    isChecked = true,
                ),
                Case(
                    "a store that was disturbed until 3 s before",
                    sentMillis = WITHDRAWN_MILLIS + 10_001,
                    disturbed = Disturbances.STORE,
                    disturbedMillis = WITHDRAWN_MILLIS..WITHDRAWN_MILLIS + 7_000,
                    isChecked = true,
                ),
                Case(
                    "a node that is disturbed before the run",
                    sentMillis = WITHDRAWN_MILLIS + 10_000,
                    runMillis = WITHDRAWN_MILLIS + 11_000,
                    disturbed = NODE,
                    disturbedMillis = WITHDRAWN_MILLIS + 10_500..WITHDRAWN_MILLIS + 10_900,
                ),
                Case(
                    "a node that is disturbed after the run",
                    sentMillis = WITHDRAWN_MILLIS + 10_000,
                    disturbed = NODE,
                    disturbedMillis = WITHDRAWN_MILLIS + 10_011..WITHDRAWN_MILLIS + 10_900,
                    isChecked = true,
                ),
            ) { case ->
                val ledger = SoakLedger()
                val disturbances = Disturbances()
                case.disturbed?.let { disturbances.begin(it, case.disturbedMillis.first)(case.disturbedMillis.last) }
                val call = Call(ID, "GET", "/x", "host", case.key)
                ledger.onSent(SentCall(call, CallKind.SAFE, "free", NODE, case.sentMillis))
                case.runMillis?.let { ledger.onRun(run(it)) }
                val checked = KeyCheck(ledger, disturbances).check(mapOf(WITHDRAWN_KEY to WITHDRAWN_MILLIS))
                checked shouldBe if (case.isChecked) 1 else 0
                ledger.violations.map { it.promise } shouldBe listOf(Promise.WITHDRAWN_KEY).filter { case.isViolation }
            }
        }
    }) {
    private companion object {
        const val ID = "id"
        const val NODE = "node"
        const val WITHDRAWN_KEY = "key-0"
        const val WITHDRAWN_MILLIS = 10_000L

        fun run(startMillis: Long) = workerRun(ID, startMillis = startMillis)
    }
}
