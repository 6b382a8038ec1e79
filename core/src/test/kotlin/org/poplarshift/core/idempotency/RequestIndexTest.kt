package org.poplarshift.core.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.idempotency.RequestRecord.RequestAbandoned
import org.poplarshift.core.idempotency.RequestRecord.RequestFinished
import org.poplarshift.core.idempotency.RequestRecord.RequestGroup
import org.poplarshift.core.idempotency.RequestRecord.RequestStarted

/** Guards the decisions for a key: which request runs, which response is replayed, and when the key is free again. */
class RequestIndexTest :
    FunSpec({
        val started = RequestStarted("organisation", "key", "digest", "first", "node", atMillis = 0, windowMillis = 100)
        val other = started.copy(requestId = "second", node = "other")
        val finished = RequestFinished("organisation", "key", "first", 200, "application/json", "{}")
        val abandoned = RequestAbandoned("organisation", "key", "first")

        class Case(
            val name: String,
            val records: List<RequestRecord>,
            val expected: RequestDecision,
            val digest: String = "digest",
            val requestId: String? = null,
            val nowMillis: Long = 50,
            val liveNodes: Set<String> = setOf("node", "other"),
        )

        listOf(
            Case("a request with an unused key starts", emptyList(), RequestDecision.Start),
            Case(
                "the request with the first start record runs",
                listOf(started, other),
                RequestDecision.Run(0),
                requestId = "first",
            ),
            Case(
                "the request with the second start record is in progress elsewhere",
                listOf(started, other),
                RequestDecision.InProgress,
                requestId = "second",
            ),
            Case(
                "the first start record of a group wins",
                listOf(RequestGroup(listOf(started, other))),
                RequestDecision.InProgress,
            ),
            Case(
                "a request with other content is refused",
                listOf(started),
                RequestDecision.ContentMismatch,
                digest = "changed",
            ),
            Case("a recorded response is replayed", listOf(started, finished), RequestDecision.Replay("first", 1)),
            Case("an abandoned start frees the key", listOf(started, abandoned), RequestDecision.Start),
            Case("a delayed start stays abandoned", listOf(abandoned, started), RequestDecision.Start),
            Case(
                "the outcome of a lost node is unknown",
                listOf(started),
                RequestDecision.OutcomeUnknown,
                liveNodes = setOf(),
            ),
            Case(
                "a request with an expired key starts",
                listOf(started, finished),
                RequestDecision.Start,
                nowMillis = 100,
            ),
        ).forEach { case ->
            test(case.name) {
                val index = RequestIndex()
                case.records.forEachIndexed { offset, record -> index.apply(offset.toLong(), record) }
                val key = RequestKey("organisation", "key")
                index.decide(key, case.digest, case.requestId, case.nowMillis) { it in case.liveNodes } shouldBe
                    case.expected
            }
        }
    })
