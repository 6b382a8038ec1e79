package org.poplarshift.core.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.idempotency.RequestRecord.RequestAbandoned
import org.poplarshift.core.idempotency.RequestRecord.RequestFinished
import org.poplarshift.core.idempotency.RequestRecord.RequestGroup
import org.poplarshift.core.idempotency.RequestRecord.RequestStarted

/** Guards the decisions about a key: who runs, what is replayed, and when a key is free again. */
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
            Case("an unused key starts", emptyList(), RequestDecision.Start),
            Case("the first start runs", listOf(started, other), RequestDecision.Run(0), requestId = "first"),
            Case("the second start waits", listOf(started, other), RequestDecision.InProgress, requestId = "second"),
            Case("the first of a group runs", listOf(RequestGroup(listOf(started, other))), RequestDecision.InProgress),
            Case("other content is refused", listOf(started), RequestDecision.ContentMismatch, digest = "changed"),
            Case("an answer is replayed", listOf(started, finished), RequestDecision.Replay("first", 1)),
            Case("an abandoned start frees the key", listOf(started, abandoned), RequestDecision.Start),
            Case("a delayed start stays abandoned", listOf(abandoned, started), RequestDecision.Start),
            Case(
                "the outcome of a lost node is unknown",
                listOf(started),
                RequestDecision.OutcomeUnknown,
                liveNodes = setOf(),
            ),
            Case("an expired key starts again", listOf(started, finished), RequestDecision.Start, nowMillis = 100),
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
