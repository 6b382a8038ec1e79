package org.poplarshift.core.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/**
 * Guards against a prompt part that crashes workers and is not found, and against harmless parts that are blamed because
 * they were in the same crashes.
 */
class PromptPartTableTest :
    FunSpec({
        data class Crash(val request: String, val worker: String, val parts: List<String>)

        data class Case(
            val name: String,
            val answeredBefore: List<String> = emptyList(),
            val crashes: List<Crash>,
            val areSentAtOnce: Boolean = false,
            val answeredAfter: List<List<String>> = List(3) { listOf("other") },
            val request: List<String> = listOf("system", "bad"),
            val blamed: Set<String>,
        )

        val crashes = listOf(
            Crash("r1", "w1", listOf("system", "s1", "bad")),
            Crash("r1", "w2", listOf("system", "s1", "bad")),
            Crash("r2", "w3", listOf("system", "s2", "bad")),
        )
        listOf(
            Case(
                "three crashes under different requests with the part",
                answeredBefore = listOf("system"),
                crashes = crashes,
                blamed = setOf("bad"),
            ),
            Case(
                "two crashes, which may have another cause",
                answeredBefore = listOf("system"),
                crashes = crashes.take(2),
                blamed = emptySet(),
            ),
            Case(
                "three crashes of one worker",
                answeredBefore = listOf("system"),
                crashes = crashes.map { it.copy(worker = "w1") },
                blamed = emptySet(),
            ),
            Case(
                "one request that is sent again while workers crash",
                answeredBefore = listOf("system"),
                crashes = crashes.map { it.copy(request = "r1") },
                blamed = emptySet(),
            ),
            Case(
                "requests that were all sent before the first crash, as in an outage",
                answeredBefore = listOf("system"),
                crashes = crashes,
                areSentAtOnce = true,
                blamed = emptySet(),
            ),
            Case(
                "no answers since the crashes, because all workers are down",
                answeredBefore = listOf("system"),
                crashes = crashes,
                answeredAfter = emptyList(),
                blamed = emptySet(),
            ),
            Case(
                "a part that was answered before the crashes",
                answeredBefore = listOf("system", "bad"),
                crashes = crashes,
                blamed = emptySet(),
            ),
            Case(
                "a part that is answered after the crashes",
                answeredBefore = listOf("system"),
                crashes = crashes,
                answeredAfter = List(3) { listOf("system", "bad") },
                blamed = emptySet(),
            ),
            Case(
                "a harmless part in some of the crashes only",
                answeredBefore = listOf("system"),
                crashes = crashes + Crash("r3", "w4", listOf("system", "bad")) + listOf("w1", "w2", "w3").mapIndexed {
                        index,
                        worker,
                    ->
                    Crash("h$index", worker, listOf("system", "rare"))
                },
                request = listOf("system", "rare"),
                blamed = emptySet(),
            ),
            Case(
                "a harmless part in all of the crashes, in a request with the crashing part",
                answeredBefore = listOf("system"),
                crashes = crashes.map { it.copy(parts = listOf("system", "companion", "bad")) },
                request = listOf("system", "companion", "bad"),
                blamed = setOf("companion", "bad"),
            ),
            Case(
                "a harmless part in all of the crashes, in a request without the crashing part",
                answeredBefore = listOf("system"),
                crashes = crashes.map { it.copy(parts = listOf("system", "companion", "bad")) },
                request = listOf("system", "companion"),
                blamed = emptySet(),
            ),
            Case(
                "a part whose companion in all of the crashes is answered later",
                answeredBefore = listOf("system"),
                crashes = crashes.map { it.copy(parts = listOf("system", "companion", "bad")) },
                answeredAfter = List(3) { listOf("system", "companion") },
                blamed = setOf("bad"),
            ),
        ).forEach { case ->
            test("${case.request} has ${case.blamed.ifEmpty { "no blamed part" }}: ${case.name}") {
                val table = PromptPartTable(retentionMillis = 10_000)
                table.onAnswered(case.answeredBefore, 0)
                case.crashes.forEachIndexed { index, crash ->
                    val sentMillis = if (case.areSentAtOnce) 0L else 10L * index
                    table.onWorkerCrash(crash.request, crash.worker, crash.parts, sentMillis, sentMillis + 5)
                }
                case.answeredAfter.forEach { table.onAnswered(it, 100) }
                table.blamedParts(case.request) shouldBe case.blamed
            }
        }

        fun tableWithBlamedPart(nowMillis: Long = 0) = PromptPartTable(retentionMillis = 10_000).apply {
            crashes.forEachIndexed { index, crash ->
                onWorkerCrash(crash.request, crash.worker, listOf("bad"), nowMillis + index, nowMillis)
            }
            repeat(3) { onAnswered(listOf("other"), nowMillis) }
        }

        test("the crashes under a blamed part are explained") {
            tableWithBlamedPart().explainedWorkers() shouldBe setOf("w1", "w2", "w3")
        }

        test("a node learns of the part from the strikes of its peers, in any order and repeatedly") {
            val update = tableWithBlamedPart().snapshot(0)
            listOf(update.strikes, update.strikes.reversed(), update.strikes + update.strikes).forEach { strikes ->
                val table = PromptPartTable(retentionMillis = 10_000)
                strikes.forEach { table.merge(PromptPartUpdate(strikes = listOf(it)), 0) }
                repeat(3) { table.onAnswered(listOf("other"), 0) }
                table.blamedParts(listOf("bad")) shouldBe setOf("bad")
            }
        }

        test("a node without answered requests blames a part that a peer blames") {
            val peer = tableWithBlamedPart()
            val table = PromptPartTable(retentionMillis = 10_000)
            table.merge(peer.snapshot(0), 0)
            table.blamedParts(listOf("bad")) shouldBe emptySet()
            table.merge(peer.confirm(0), 0)
            table.blamedParts(listOf("bad")) shouldBe setOf("bad")
            peer.confirm(0) shouldBe PromptPartUpdate()
            table.confirm(0) shouldBe PromptPartUpdate()
            val restarted = PromptPartTable(retentionMillis = 10_000).apply { merge(table.snapshot(0), 0) }
            restarted.blamedParts(listOf("bad")) shouldBe setOf("bad")
        }

        test("a node that has seen an answer acquits the part at its peers before it is blamed") {
            val table = PromptPartTable(retentionMillis = 10_000)
            table.onAnswered(listOf("bad"), 0)
            val strikes = tableWithBlamedPart().snapshot(0).strikes
            table.merge(PromptPartUpdate(strikes = strikes.take(1)), 0) shouldBe PromptPartUpdate()
            val acquittal = table.merge(PromptPartUpdate(strikes = strikes.drop(1)), 0)
            val peer = tableWithBlamedPart()
            peer.merge(acquittal, 0)
            peer.merge(PromptPartUpdate(strikes = strikes), 0)
            peer.blamedParts(listOf("bad")) shouldBe emptySet()
        }

        test("the blame lasts while requests with the part keep arriving, and expires afterwards") {
            val table = tableWithBlamedPart()
            table.renew(setOf("bad"), nowMillis = 1_000) shouldBe PromptPartUpdate()
            table.renew(setOf("bad"), nowMillis = 6_000).strikes.size shouldBe 3
            table.expire(15_999)
            table.blamedParts(listOf("bad")) shouldBe setOf("bad")
            table.expire(16_000)
            table.blamedParts(listOf("bad")) shouldBe emptySet()
            table.snapshot(16_000) shouldBe PromptPartUpdate()
        }
    })
