package org.poplarshift.serving.submission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.submission.ItemResult
import org.poplarshift.core.submission.LedgerEffect
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.DisturbedLog
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.PlainCallerProtocol
import org.poplarshift.serving.fixture.Proposals
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.ingress.CallerOperation
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.ingress.CallerRequestHead
import org.poplarshift.serving.ingress.Refusal
import org.poplarshift.serving.observe.CallRecord
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Guards against results that one node has shown and that are missing or different at another node. */
@OptIn(ExperimentalCoroutinesApi::class)
class ResultSimulationTest :
    FunSpec({
        (1..SEEDS).forEach { seed ->
            // Three nodes follow one log in virtual time while a reader walks through the results at changing nodes.
            test("a result that a node has shown neither moves nor goes missing at another node, seed $seed") {
                runTest { Simulation(this, Random(seed)).run() }
            }
        }
    }) {
    private class Shown(val millis: Long, val line: String)

    private class Simulation(private val scope: TestScope, private val random: Random) {
        private val clock = MonotonicClock { scope.currentTime }
        private val log = FakeLog()
        private val stores = List(NODES) {
            val disturbed = DisturbedLog(log, scope.backgroundScope, random)
            val tasks = TestTasks.of(scope.backgroundScope)
            val cache = ContentCache(if (it == 0) 0 else CACHE_BYTES)
            SubmissionStore(tasks, disturbed, clock, "t", "c", partitions = 1, cache, random.asJavaRandom())
        }
        private val protocol = object : CallerProtocol by PlainCallerProtocol {
            override fun encodeResults(total: Int, next: Int, results: List<ItemResult>): Buffer =
                Buffer.buffer((listOf("$next") + results.map { "${it.item} ${it.output.toList()}" }).joinToString("\n"))
        }
        private val services = stores.map { SubmissionService(it, protocol, clock) }
        private val acceptedMillis = LinkedHashMap<String, Long>()
        private val shown = HashMap<String, ArrayList<Shown>>()
        private var reads = 0
        private var removals = 0

        suspend fun run() {
            stores.forEach { store ->
                scope.backgroundScope.launch { store.partitions.single().follower.run() }
            }
            scope.backgroundScope.launch { repeatedly(200) { submit() } }
            repeat(NODES) { node -> scope.backgroundScope.launch { repeatedly(100) { writeResult(node) } } }
            scope.backgroundScope.launch { repeatedly(1_000) { removeOldest() } }
            repeat(READERS) { scope.backgroundScope.launch { repeatedly(100) { read() } } }
            delay(DURATION_MILLIS)
            withClue("reads $reads, removals $removals, shown ${shown.values.sumOf { it.size }}") {
                (reads > 100 && removals > 0 && shown.values.any { it.size == ITEMS }) shouldBe true
            }
        }

        private suspend fun repeatedly(pauseMillis: Long, action: suspend () -> Unit) {
            while (true) {
                delay(random.nextLong(2 * pauseMillis))
                action()
            }
        }

        private fun partition(node: Int) = stores[node].partitions.single()

        private suspend fun submit() {
            val proposal = Proposals.of(
                submission = "s${random.nextInt(1_000_000)}",
                items = List(ITEMS) { Proposals.item("i$it") },
                waitingTokensLimit = 10L * ITEMS * OPEN_SUBMISSIONS,
            )
            val node = random.nextInt(NODES)
            if (!partition(node).follower.isStarted) return
            val result = partition(node).write(proposal, ByteArray(ITEMS))
            if (result is WriteResult.Applied && result.effect is LedgerEffect.Accepted) {
                acceptedMillis[proposal.submission] = scope.currentTime
            }
        }

        // Two nodes may write different results for the same item.
        private suspend fun writeResult(node: Int) {
            if (!partition(node).follower.isStarted) return
            val open = partition(node).ledger.submissions.filter { !it.isComplete }
            val state = open.randomOrNull(random) ?: return
            val item = state.items.filter { !it.hasResult }.random(random).proposed.id
            val record = SubmissionRecord.Result(state.proposal.submission, item, isComplete = true)
            partition(node).write(record, random.nextBytes(2))
        }

        private suspend fun removeOldest() {
            val node = random.nextInt(NODES)
            val (id, millis) = acceptedMillis.entries.firstOrNull() ?: return
            val state = partition(node).ledger.find(id) ?: return
            if (!state.isComplete || scope.currentTime - millis < RETENTION_MILLIS) return
            acceptedMillis -= id
            removals++
            // The log may refuse the removal. Reads of this submission are no longer checked.
            partition(node).remove(listOf(id))
        }

        private suspend fun read() {
            val ids = acceptedMillis.keys.toList()
            val id = (if (random.nextBoolean()) ids else ids.takeLast(OPEN_SUBMISSIONS)).randomOrNull(random) ?: return
            val known = shown.getOrPut(id) { ArrayList() }
            val after = if (random.nextBoolean()) known.size else random.nextInt(known.size + 1)
            val head = CallerRequestHead(null, null, "host", "/results/$id", null, null)
            val sink = RecordingSink()
            val refusal = services.random(random).read(
                CallerOperation.ReadResults(head, id, after, waitMillis = random.nextLong(500)),
                organisation = null,
                sink,
                CallRecord(head, "GET", receivedMillis = 0),
            )
            val accepted = acceptedMillis[id] ?: return
            val now = scope.currentTime
            reads++
            if (now - accepted > SETTLE_MILLIS) refusal shouldNotBe Refusal.UNKNOWN_SUBMISSION
            if (refusal == null) check(id, known, after, sink.body.lines(), now)
        }

        private fun check(id: String, known: ArrayList<Shown>, after: Int, lines: List<String>, now: Long) {
            val page = lines.drop(1)
            withClue("submission $id, position $after at $now ms") {
                lines.first().toInt() shouldBe after + page.size
                if (page.isEmpty()) known.drop(after).filter { now - it.millis > SETTLE_MILLIS }.size shouldBe 0
                page.forEachIndexed { index, line ->
                    val position = after + index
                    if (position < known.size) line shouldBe known[position].line else known += Shown(now, line)
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 20
        const val NODES = 3
        const val READERS = 8
        const val ITEMS = 5
        const val OPEN_SUBMISSIONS = 4

        // Fewer than the submissions have. The first node keeps none, so that it reads all outputs from the log.
        const val CACHE_BYTES = 1_000L
        const val DURATION_MILLIS = 60_000L

        // The time after which all nodes must list what one has listed.
        const val SETTLE_MILLIS = 1_000L
        const val RETENTION_MILLIS = 5_000L
    }
}
