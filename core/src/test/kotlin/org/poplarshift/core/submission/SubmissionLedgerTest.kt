package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

/** Guards against duplicate submissions or results, exceeded limits and results that differ between nodes. */
class SubmissionLedgerTest :
    FunSpec({
        fun proposal(
            id: String,
            items: List<String> = listOf("1", "2"),
            limit: Long = 0,
            organisation: String = "org",
        ) = SubmissionRecord.Proposed(
            submission = id,
            organisation = organisation,
            route = "route",
            host = "host",
            service = "service",
            waitingTokensLimit = limit,
            firstSentMillis = 0,
            dueMillis = 1_000,
            abandonMillis = 2_000,
            maximumAttempts = 3,
            items = items.map { ProposedItem(it, "/path/$it", emptyMap(), tokens = 10, bodyBytes = 2) },
        )

        fun bodies(count: Int) = ByteArray(2 * count) { it.toByte() }
        fun SubmissionLedger.propose(record: SubmissionRecord.Proposed) =
            apply(record, bodies(record.items.size), listOf(record.submission))
        fun SubmissionLedger.result(submission: String, item: String, output: String) = apply(
            SubmissionRecord.Result(submission, item, isComplete = true),
            output.encodeToByteArray(),
            listOf("$submission/$item"),
        )

        test("a submission that is proposed twice is accepted once") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s")).shouldBeInstanceOf<LedgerEffect.Accepted>()
            ledger.propose(proposal("s")) shouldBe LedgerEffect.Duplicate
            ledger.propose(proposal("s", organisation = "other")) shouldBe LedgerEffect.IdConflict
            ledger.submissions.size shouldBe 1
        }

        test("items keep their bodies") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s"))
            ledger.find("s")?.item("2")?.body?.toList() shouldBe listOf<Byte>(2, 3)
        }

        test("only the first result of an item counts, and it keeps its position") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s"))
            ledger.result("s", "2", "first").shouldBeInstanceOf<LedgerEffect.ResultAdded>()
            ledger.result("s", "2", "late") shouldBe LedgerEffect.Duplicate
            ledger.result("s", "1", "other")
            ledger.find("s")?.results?.map { it.item to it.output.decodeToString() } shouldBe
                listOf("2" to "first", "1" to "other")
        }

        test("a proposal above the limit of waiting tokens is rejected until results free tokens") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("a", limit = 30)).shouldBeInstanceOf<LedgerEffect.Accepted>()
            ledger.propose(proposal("b", limit = 30)) shouldBe LedgerEffect.Rejected
            ledger.result("a", "1", "x")
            ledger.propose(proposal("b", limit = 30)).shouldBeInstanceOf<LedgerEffect.Accepted>()
        }

        test("ending a submission frees its waiting tokens once") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("a"))
            ledger.apply(
                SubmissionRecord.Ended("a"),
                ByteArray(0),
                listOf("e1"),
            ).shouldBeInstanceOf<LedgerEffect.Ended>()
            ledger.apply(SubmissionRecord.Ended("a"), ByteArray(0), listOf("e2")) shouldBe LedgerEffect.Duplicate
            ledger.result("a", "1", "x")
            ledger.waitingTokens("org", "route") shouldBe 0
        }

        test("progress is saved only if it is later than the saved one and the item has no result") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s"))
            fun saveProgress(event: Long) =
                ledger.apply(SubmissionRecord.Progress("s", "1", event), byteArrayOf(1), listOf("p$event"))
            saveProgress(5) shouldBe LedgerEffect.ProgressSaved
            saveProgress(3) shouldBe LedgerEffect.Duplicate
            ledger.find("s")?.item("1")?.progress?.lastEvent shouldBe 5
            ledger.result("s", "1", "x")
            saveProgress(9) shouldBe LedgerEffect.Duplicate
        }

        test("removing a submission returns its keys and those of previously rejected proposals") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("a", limit = 20))
            ledger.propose(proposal("b", limit = 20))
            ledger.result("a", "1", "x")
            ledger.remove(listOf("a")).toSet() shouldBe setOf("a", "b", "a/1")
            ledger.waitingTokens("org", "route") shouldBe 0
        }

        (1L..50L).forEach { seed ->
            test("a node that replays all records reaches the same state, seed $seed") {
                val random = Random(seed)
                val records = List(200) {
                    val submission = "s${random.nextInt(8)}"
                    when (random.nextInt(5)) {
                        0, 1 -> proposal(submission, limit = 60)
                        2 -> SubmissionRecord.Ended(submission)
                        3 -> SubmissionRecord.Progress(submission, "1", random.nextLong(9))
                        else -> SubmissionRecord.Result(submission, "${1 + random.nextInt(2)}", random.nextBoolean())
                    }
                }
                fun replay() = SubmissionLedger().also { ledger ->
                    records.forEachIndexed { offset, record ->
                        val content = if (record is SubmissionRecord.Proposed) {
                            bodies(
                                2,
                            )
                        } else {
                            byteArrayOf(offset.toByte())
                        }
                        ledger.apply(record, content, listOf("k$offset"))
                    }
                }

                fun SubmissionLedger.state() = submissions.map { state ->
                    Triple(
                        state.proposal.submission,
                        state.isEnded,
                        state.results.map {
                            it.item to it.output.toList()
                        },
                    )
                }
                val ledger = replay()
                ledger.state() shouldBe replay().state()
                ledger.submissions.forEach { state ->
                    state.results.distinctBy { it.item }.size shouldBe
                        state.results.size
                }
                (ledger.waitingTokens("org", "route") in 0..60) shouldBe true
            }
        }
    })
