package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.ReceivedRequest
import org.poplarshift.standins.worker.ResponseContent
import org.poplarshift.standins.worker.WorkerRun

/** Guards against checks that can't fail: each broken promise must be reported, and nothing else. */
class CallChecksTest :
    FunSpec({
        val plain = ResponseContent.plain(ID)
        val stream = ResponseContent.eventsAfter(ID, after = 0)

        data class Case(
            val name: String,
            val kind: CallKind,
            val runStatuses: List<Int?>,
            val status: Int?,
            val body: String,
            val isComplete: Boolean = true,
            val stampOfRun: Int? = 0,
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
                Case("failed run", CallKind.SAFE, listOf(500), 200, plain, expected = Promise.OWN_RESPONSE),
                Case("other failure", CallKind.SAFE, listOf(500), 502, "", expected = Promise.OWN_RESPONSE),
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
                val call =
                    SentCall(Call(ID, "GET", "/x", "host", SoakOrganisations.LASTING_KEY), case.kind, "free", "node", 0)
                ledger.onSent(call)
                case.runStatuses.forEachIndexed { index, status -> call.runs += run(index).also { it.status = status } }
                val stamp = case.stampOfRun?.let { call.runs[it].stamp } ?: "other".takeIf { case.status == 200 }
                call.result = CallResult(case.status, stamp, case.body, case.isComplete, failure = null, 0, 0)
                CallChecks(ledger, Disturbances()).check()
                ledger.violations.map { it.promise } shouldBe listOfNotNull(case.expected)
            }
        }
    }) {
    private companion object {
        const val ID = "id"

        fun run(index: Int) = WorkerRun(
            worker = "worker",
            requestId = ID,
            stamp = "stamp-$index",
            startMillis = 0,
            organisation = "free",
            resumeAfter = 0,
            request = ReceivedRequest("GET", "/x", MultiMap.caseInsensitiveMultiMap(), ByteArray(0)),
        )
    }
}
