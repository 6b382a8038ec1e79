package org.poplarshift.node.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.fixture.FakeLogService
import org.poplarshift.node.fixture.FaultyLog
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RunningNode
import org.poplarshift.ports.LogService

/** Verifies requirement R10 at real nodes: a request with an `Idempotency-Key` runs once, whichever node gets it. */
class LogRequestLedgerTest :
    FunSpec({
        suspend fun withNodes(log: LogService, test: suspend (RunningNode, RunningNode) -> Unit) = Fleet(log).use {
            test(it.node("node-1"), it.node("node-2"))
        }

        suspend fun RunningNode.begin(key: String, digest: String = "digest") =
            withContext(node.context.scope.coroutineContext) { node.ledger.begin("office", key, digest) }

        test("only one of many retries through two nodes runs, although append outcomes are unknown") {
            withNodes(FaultyLog(FakeLogService(), delayMillis = 3, unknownRate = 0.3, seed = 7)) { first, second ->
                val decisions = List(20) { number ->
                    first.node.context.scope.async { (if (number % 2 == 0) first else second).begin("key") }
                }.awaitAll()
                decisions.filterIsInstance<LedgerDecision.Run>() shouldHaveSize 1
            }
        }

        test("a finished request is replayed by another node, and different content is refused") {
            withNodes(FakeLogService()) { first, second ->
                val run = first.begin("key") as LedgerDecision.Run
                withContext(first.node.context.scope.coroutineContext) {
                    first.node.ledger.finish(run, 201, "text/plain", "label 7")
                }
                val replay = withTimeout(RunningNode.DEADLINE_MILLIS) {
                    var decision = second.begin("key")
                    while (decision !is LedgerDecision.Replay) {
                        delay(20)
                        decision = second.begin("key")
                    }
                    decision
                }
                replay shouldBe LedgerDecision.Replay(201, "text/plain", "label 7")
                second.begin("key", "changed") shouldBe
                    LedgerDecision.Refused(RefusalReason.KEY_REUSED_WITH_OTHER_CONTENT, RunStatus.NOT_RUN)
            }
        }

        test("many requests share an append, and are refused as not run while the log is down") {
            val log = FaultyLog(FakeLogService(), delayMillis = 20)
            withNodes(log) { first, _ ->
                List(200) { first.node.context.scope.async { first.begin("key$it") } }.awaitAll()
                log.appends.get() shouldBeLessThan 10
                log.isDown = true
                first.begin("late") shouldBe LedgerDecision.Refused(RefusalReason.LOG_UNAVAILABLE, RunStatus.NOT_RUN)
            }
        }
    })
