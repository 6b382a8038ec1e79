package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.poplarshift.core.stream.StreamOrigin
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

        val stored = ArrayList<ByteArray>()
        fun store(bytes: ByteArray): RecordContent {
            stored += bytes
            return RecordContent.of(listOf(RecordPart("k", stored.size - 1L, bytes.size)), start = 0, bytes.size)
        }
        fun RecordContent.load() = extract(parts.map { stored[it.offset.toInt()] })
        fun bodies(count: Int) = store(ByteArray(2 * count) { it.toByte() })
        fun SubmissionLedger.propose(record: SubmissionRecord.Proposed) =
            apply(record, bodies(record.items.size), listOf(record.submission))
        fun SubmissionLedger.result(submission: String, item: String, output: String) = apply(
            SubmissionRecord.Result(submission, item, isComplete = true),
            store(output.encodeToByteArray()),
            listOf("$submission/$item"),
        )
        fun SubmissionLedger.state() = submissions.map { state ->
            Triple(state.proposal.submission, state.isEnded, state.results.map { it.item to it.output.load().toList() })
        }

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
            ledger.find("s")?.item("2")?.body?.load()?.toList() shouldBe listOf<Byte>(2, 3)
        }

        test("only the first result of an item counts, and it keeps its position") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s"))
            ledger.result("s", "2", "first").shouldBeInstanceOf<LedgerEffect.ResultAdded>()
            ledger.result("s", "2", "late") shouldBe LedgerEffect.Duplicate
            ledger.result("s", "1", "other")
            ledger.find("s")?.results?.map { it.item to it.output.load().decodeToString() } shouldBe
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
                store(ByteArray(0)),
                listOf("e1"),
            ).shouldBeInstanceOf<LedgerEffect.Ended>()
            ledger.apply(SubmissionRecord.Ended("a"), store(ByteArray(0)), listOf("e2")) shouldBe LedgerEffect.Duplicate
            ledger.result("a", "1", "x")
            ledger.waitingTokens("org", "route") shouldBe 0
        }

        test("progress is saved only if it is later than the saved one and the item has no result") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("s"))
            fun saveProgress(event: Long) =
                ledger.apply(SubmissionRecord.Progress("s", "1", event), store(byteArrayOf(1)), listOf("p$event"))
            saveProgress(5) shouldBe LedgerEffect.ProgressSaved
            saveProgress(3) shouldBe LedgerEffect.Duplicate
            ledger.find("s")?.item("1")?.progress?.lastEvent shouldBe 5
            ledger.result("s", "1", "x")
            saveProgress(9) shouldBe LedgerEffect.Duplicate
        }

        data class ProgressCase(val name: String, val records: List<Pair<String?, Long>>, val kept: Int)
        listOf(
            ProgressCase("a later event of the same version replaces an earlier one", listOf("v1" to 3, "v1" to 5), 1),
            ProgressCase("an earlier event of the same version replaces none", listOf("v1" to 5, "v1" to 3), 0),
            ProgressCase("a run that began anew at another version counts", listOf("v1" to 5, "v2" to 1), 1),
            ProgressCase("output of an unknown version replaces none of a known one", listOf("v1" to 5, null to 9), 0),
            ProgressCase("output of a known version replaces one of an unknown one", listOf(null to 9, "v1" to 5), 1),
            ProgressCase("outputs of an unknown version are compared", listOf(null to 5, null to 9), 1),
        ).forEach { case ->
            // Guards against output that is continued at another software version than that which has written it.
            test("the event, the version and the output of an item come from the same record: ${case.name}") {
                val ledger = SubmissionLedger()
                ledger.propose(proposal("s"))
                case.records.forEachIndexed { index, (version, event) ->
                    val origin = version?.let { StreamOrigin("service", it) }
                    val record = SubmissionRecord.Progress("s", "1", event, origin)
                    ledger.apply(record, store(byteArrayOf(index.toByte())), listOf("p$index"))
                }
                val kept = checkNotNull(ledger.find("s")?.item("1")?.progress)
                val (version, event) = case.records[case.kept]
                Triple(kept.origin?.softwareVersion, kept.lastEvent, kept.output.load().single().toInt()) shouldBe
                    Triple(version, event, case.kept)
            }
        }

        // Guards against a ledger that changes before the deletions are in the log, and against forgotten rejected keys.
        test("a submission and rejected proposals are kept until the deletion of their keys has been read") {
            val ledger = SubmissionLedger()
            ledger.propose(proposal("a", limit = 20))
            ledger.propose(proposal("b", limit = 20))
            ledger.result("a", "1", "x")
            repeat(2) {
                ledger.keysToRemove(listOf("a")).toSet() shouldBe setOf("a", "b", "a/1")
                ledger.find("a")?.results?.size shouldBe 1
                ledger.waitingTokens("org", "route") shouldBe 10
            }
            ledger.onKeyDeleted("b") shouldBe null
            ledger.keysToRemove(listOf("a")).toSet() shouldBe setOf("a", "a/1")
            ledger.onKeyDeleted("a")?.proposal?.submission shouldBe "a"
            ledger.find("a") shouldBe null
            ledger.waitingTokens("org", "route") shouldBe 0
            ledger.keysToRemove(emptyList()) shouldBe listOf("a/1")
            ledger.onKeyDeleted("a/1") shouldBe null
            ledger.keysToRemove(emptyList()) shouldBe emptyList()
        }

        (1L..50L).forEach { seed ->
            // Guards against results and decisions that depend on when a node has started to read the log.
            test("a ledger that starts from the newest records agrees with one that has read all, seed $seed") {
                val random = Random(seed)
                class Stored(val key: String, val record: SubmissionRecord?)

                val log = ArrayList<Stored>()
                fun SubmissionLedger.read(offset: Int) {
                    val entry = log[offset]
                    when (val record = entry.record) {
                        null -> onKeyDeleted(entry.key)
                        else -> apply(record, store(ByteArray(4) { offset.toByte() }), listOf(entry.key))
                    }
                }

                fun startFromNewest() = SubmissionLedger().also { ledger ->
                    val newest = log.indices.associateBy { log[it].key }.values.sorted()
                    newest.filter { log[it].record != null }.forEach { ledger.read(it) }
                }
                val live = SubmissionLedger()
                var liveEnd = 0
                val remover = SubmissionLedger()
                var removerEnd = 0
                var proposed = 0
                repeat(300) {
                    // Records of a submission that may be removed are no longer written.
                    val recent = live.submissions.toList().takeLast(3).map { it.proposal.submission }
                    val submission = recent.randomOrNull(random) ?: "s0"
                    when (random.nextInt(8)) {
                        0, 1 -> log += Stored("k${log.size}", proposal("s${proposed++ / 2}", limit = 60))
                        2 -> log += Stored("k${log.size}", SubmissionRecord.Ended(submission))
                        3 -> log += Stored("k${log.size}", SubmissionRecord.Progress(submission, "1", it.toLong()))
                        4, 5, 6 -> {
                            val item = "${1 + random.nextInt(2)}"
                            log +=
                                Stored("k${log.size}", SubmissionRecord.Result(submission, item, random.nextBoolean()))
                        }

                        else -> {
                            val expired = remover.submissions.filter { state -> state.isEnded || state.isComplete }
                                .map { state -> state.proposal.submission }
                                .filter { id -> id !in recent }
                            val keys = remover.keysToRemove(expired)
                            val isRefused = random.nextInt(3) == 0
                            if (expired.isNotEmpty() && !isRefused) log += keys.map { key -> Stored(key, null) }
                        }
                    }
                    while (liveEnd < log.size) live.read(liveEnd++)
                    if (random.nextBoolean()) while (removerEnd < log.size) remover.read(removerEnd++)
                    val started = startFromNewest()
                    started.state() shouldBe live.state()
                    started.waitingTokens("org", "route") shouldBe live.waitingTokens("org", "route")
                }
                (log.count { entry -> entry.record == null } > 0) shouldBe true
            }
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
                        val isProposed = record is SubmissionRecord.Proposed
                        val content = if (isProposed) bodies(2) else store(byteArrayOf(offset.toByte()))
                        ledger.apply(record, content, listOf("k$offset"))
                    }
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
