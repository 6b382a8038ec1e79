package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.ResponseContent

/** Guards against checks that can't fail: each broken promise must be reported, and nothing else. */
class CallChecksTest :
    FunSpec({
        val plain = ResponseContent.plain(ID)
        val failure = ResponseContent.failure(ID)
        val stream = ResponseContent.eventsAfter(ID, after = 0) { "v1" }

        data class Case(
            val name: String,
            val kind: CallKind,
            val runStatuses: List<Int?>,
            val status: Int?,
            val body: String,
            val isComplete: Boolean = true,
            val stampOfRun: Int? = 0,
            val hasReceipt: Boolean = true,
            val resumeAfter: Int? = null,
            val expected: Promise?,
        )

        context("a call is compared with its runs") {
            withData(
                nameFn = { it.name },
                Case("whole", CallKind.SAFE, listOf(200), 200, plain, expected = null),
                Case("second run", CallKind.SAFE, listOf(500, 200), 200, plain, stampOfRun = 1, expected = null),
                Case("other body", CallKind.SAFE, listOf(200), 200, "x", expected = Promise.OWN_RESPONSE),
                Case("cut, not complete", CallKind.SAFE, listOf(200), 200, "x", isComplete = false, expected = null),
                Case(
                    "other stamp",
                    CallKind.SAFE,
                    listOf(200),
                    200,
                    plain,
                    stampOfRun = null,
                    expected = Promise.OWN_RESPONSE,
                ),
                Case("failed run", CallKind.SAFE, listOf(500), 200, plain, expected = Promise.TRUE_SUCCESS),
                Case("other failure", CallKind.SAFE, listOf(500), 502, "", expected = Promise.OWN_STATUS),
                Case("longer body", CallKind.SAFE, listOf(200), 200, plain + "H", expected = Promise.WHOLE_BODY),
                Case("shorter body", CallKind.SAFE, listOf(200), 200, plain.dropLast(1), expected = Promise.WHOLE_BODY),
                Case("empty body", CallKind.SAFE, listOf(200), 200, "", expected = Promise.WHOLE_BODY),
                Case(
                    "no receipt",
                    CallKind.SAFE,
                    listOf(200),
                    200,
                    plain,
                    hasReceipt = false,
                    expected = Promise.RECEIPT,
                ),
                Case("whole failure", CallKind.SAFE, listOf(500), 500, failure, expected = null),
                Case("longer failure", CallKind.SAFE, listOf(500), 500, failure + "H", expected = Promise.WHOLE_BODY),
                Case(
                    "failed run of a stream",
                    CallKind.STREAM,
                    listOf(500),
                    200,
                    "",
                    isComplete = false,
                    expected = Promise.TRUE_SUCCESS,
                ),
                Case(
                    "failure of another request",
                    CallKind.SAFE,
                    listOf(500),
                    500,
                    failure,
                    stampOfRun = null,
                    expected = Promise.OWN_RESPONSE,
                ),
                Case(
                    "resumed stream",
                    CallKind.RESUMABLE,
                    listOf(200),
                    200,
                    ResponseContent.eventsAfter(ID, after = 2) { "v1" },
                    resumeAfter = 2,
                    expected = null,
                ),
                Case(
                    "resumed stream from its start",
                    CallKind.RESUMABLE,
                    listOf(200),
                    200,
                    stream,
                    resumeAfter = 2,
                    expected = Promise.STREAM_ORDER,
                ),
                Case(
                    "two runs",
                    CallKind.UNSAFE,
                    listOf(null, 200),
                    200,
                    plain,
                    stampOfRun = 1,
                    expected = Promise.RUNS_ONCE,
                ),
                Case(
                    "false refusal",
                    CallKind.UNSAFE,
                    listOf(null),
                    503,
                    "",
                    stampOfRun = null,
                    expected = Promise.TRUE_REFUSAL,
                ),
                Case("true refusal", CallKind.UNSAFE, emptyList(), 503, "", stampOfRun = null, expected = null),
                Case("rejected", CallKind.SAFE, emptyList(), 404, "", stampOfRun = null, expected = Promise.NOT_DENIED),
                Case("worker rejects", CallKind.SAFE, listOf(404), 404, "", expected = null),
                Case("whole stream", CallKind.STREAM, listOf(200), 200, stream, expected = null),
                Case("no end", CallKind.STREAM, listOf(200), 200, stream.dropLast(9), expected = Promise.STREAM_ORDER),
                Case(
                    "text of an error",
                    CallKind.STREAM,
                    listOf(200),
                    200,
                    "id: 1\nerror",
                    isComplete = false,
                    expected = Promise.STREAM_ORDER,
                ),
            ) { case ->
                val ledger = SoakLedger()
                val sent = Call(ID, "GET", "/x", "host", SoakOrganisations.LASTING_KEY, resumeAfter = case.resumeAfter)
                val call = SentCall(sent, case.kind, "free", "node", 0)
                ledger.onSent(call)
                case.runStatuses.forEachIndexed { index, status ->
                    call.runs += workerRun(ID, stamp = "stamp-$index").also {
                        it.status = status
                        it.body = failure.takeIf { status == 500 }
                    }
                }
                val stamp =
                    case.stampOfRun?.let { call.runs[it].stamp } ?: "other".takeIf { case.status in RUN_STATUSES }
                call.result =
                    CallResult(
                        case.status,
                        stamp.takeIf {
                            case.hasReceipt
                        },
                        case.body,
                        case.isComplete,
                        failure = null,
                        0,
                        0,
                    )
                CallChecks(ledger, Disturbances()).check()
                ledger.violations.map { it.promise } shouldBe listOfNotNull(case.expected)
            }
        }
    }) {
    private companion object {
        const val ID = "id"
        val RUN_STATUSES = setOf(200, 500)
    }
}
