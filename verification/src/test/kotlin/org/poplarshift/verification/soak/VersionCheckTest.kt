package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.ResponseContent

/** Guards against a check that accepts streams of two software versions, or streams that are refused when taken up. */
class VersionCheckTest :
    FunSpec({
        fun ledgerOf(calls: List<SentCall>) = SoakLedger().also { ledger -> calls.forEach { ledger.onSent(it) } }

        fun call(id: String, status: Int, body: String, takeUp: TakeUp? = null): SentCall {
            val sent = Call(id, "GET", "/x", "host", SoakOrganisations.LASTING_KEY)
            val node = if (takeUp == null) "first" else "second"
            val call = SentCall(sent, CallKind.RESUMABLE, "free", node, 10_000, takeUp)
            call.result = CallResult(status, "stamp", body, isComplete = true, failure = null, 10_000, 10_100)
            return call
        }

        fun event(number: Int, version: String) = ResponseContent.event("id", number, version)

        data class VersionCase(val name: String, val first: String, val second: String, val isOneVersion: Boolean)

        context("the events of a stream are of one version over all calls of its caller") {
            withData(
                nameFn = { it.name },
                VersionCase("one version", event(1, "v1"), event(2, "v1"), isOneVersion = true),
                VersionCase("two in one response", event(1, "v1") + event(2, "v2"), "", isOneVersion = false),
                VersionCase("two in two responses", event(1, "v1"), event(2, "v2"), isOneVersion = false),
                VersionCase("a cut event of another", event(1, "v1") + event(2, "v2").dropLast(1), "", true),
            ) { case ->
                val first = call("a", 200, case.first)
                val ledger = ledgerOf(listOf(first, call("b", 200, case.second, TakeUp(first, servingWorkers = 2))))
                VersionCheck(ledger, Disturbances()).check()
                ledger.violations.map { it.promise } shouldBe listOfNotNull(
                    Promise.ONE_VERSION.takeUnless { case.isOneVersion },
                )
            }
        }

        data class ResumptionCase(
            val name: String,
            val refused: Int,
            val streams: Int = 12,
            val servingWorkers: Int = 2,
            val isDisturbed: Boolean = false,
            val isTooRare: Boolean = false,
        )

        context("at least half as many streams go on as begin") {
            withData(
                nameFn = { it.name },
                ResumptionCase("all go on", refused = 0),
                ResumptionCase("half go on", refused = 6),
                ResumptionCase("fewer go on", refused = 7, isTooRare = true),
                ResumptionCase("too few to judge", refused = 11, streams = 11),
                ResumptionCase("only one worker of their version", refused = 12, servingWorkers = 1),
                ResumptionCase("a disturbed node", refused = 12, isDisturbed = true),
            ) { case ->
                val calls = (1..case.streams).flatMap { number ->
                    val first = call("a$number", 200, event(1, "v1"))
                    val status = if (number <= case.refused) 503 else 200
                    listOf(first, call("b$number", status, "", TakeUp(first, case.servingWorkers)))
                }
                val disturbances = Disturbances()
                if (case.isDisturbed) disturbances.begin("second", nowMillis = 9_000)
                val ledger = ledgerOf(calls)
                VersionCheck(ledger, disturbances).check()
                ledger.violations.map { it.promise } shouldBe listOfNotNull(
                    Promise.RESUMED_STREAM.takeIf { case.isTooRare },
                )
            }
        }
    })
