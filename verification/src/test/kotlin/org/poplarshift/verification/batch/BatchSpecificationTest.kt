package org.poplarshift.verification.batch

import edu.mit.csail.sdg.ast.Sig
import edu.mit.csail.sdg.translator.A4Solution
import edu.mit.csail.sdg.translator.A4Tuple
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.ChunkReference
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.verification.alloy.AlloyModelChecker

/**
 * Checks the assertions of `batch.als`, checks that the broken variants have counterexamples, and replays the records
 * of the counterexamples through the batch index.
 */
class BatchSpecificationTest :
    FunSpec({
        val checker = AlloyModelChecker("batch.als")

        listOf("checkOneResult", "checkAtMostOnce", "checkAcknowledged", "checkCancel").forEach { command ->
            test("$command holds") { checker.holds(command) shouldBe true }
        }

        listOf("checkLastResult", "checkDispatchUnread", "checkAcknowledgeUnread").forEach { command ->
            test("$command is refuted") { checker.holds(command) shouldBe false }
        }

        test("the specification has a trace in which a job is acknowledged and its item is sent and has a result") {
            checker.run("reachable").satisfiable() shouldBe true
        }

        test("the index records one result from the counterexample in which the last result wins") {
            val recorded = replay(checker.run("checkLastResult")).filterIsInstance<BatchResult.Recorded>()
            recorded.flatMap { it.results } shouldHaveSize 1
        }

        test("the index accepts one start from the counterexample in which items are sent before their start is read") {
            val trace = checker.run("checkDispatchUnread")
            val index = BatchIndex()
            (listOf(accepted("JobAccepted\$0")) + attempts(trace)).forEachIndexed { offset, record ->
                index.apply(offset.toLong(), record)
            }
            attempts(trace).map { it.holder }.toSet() shouldHaveSize 2
            index.allJobs.single().starterOf(0) shouldBe attempts(trace).first().holder
        }

        test("the index accepts one job from the counterexample in which a job is acknowledged before it is read") {
            val results = replay(checker.run("checkAcknowledgeUnread"))
            results.filterIsInstance<BatchResult.Accepted>() shouldHaveSize 1
        }
    }) {
    private companion object {
        fun replay(solution: A4Solution): List<BatchResult> {
            solution.satisfiable() shouldBe true
            val index = BatchIndex()
            return logOf(solution).mapIndexed { offset, atom -> index.apply(offset.toLong(), record(solution, atom)) }
        }

        /** Returns the atoms of the records in the log at the end of the trace, ordered by offset. */
        fun logOf(solution: A4Solution): List<String> = tuples(solution, "Log<:record", solution.traceLength - 1)
            .sortedBy { it.atom(1).substringAfter('$').toInt() }
            .map { it.atom(2) }

        fun record(solution: A4Solution, atom: String): BatchRecord = when (atom.substringBefore('$')) {
            "JobAccepted" -> accepted(atom)
            "ItemsStarted" -> started(solution, atom)
            "JobCancelled" -> BatchRecord.JobCancelled(value(solution, "JobAccepted", atom), atMillis = 0)
            else -> result(solution, atom)
        }

        fun attempts(solution: A4Solution): List<BatchRecord.ItemsStarted> =
            tuples(solution, "Dispatched", solution.traceLength - 1).map { started(solution, it.atom(0)) }

        fun started(solution: A4Solution, atom: String) = BatchRecord.ItemsStarted(
            uploadId = value(solution, "ItemsStarted<:upload", atom),
            items = listOf(value(solution, "ItemsStarted<:item", atom).substringAfter('$').toInt()),
            holder = value(solution, "ItemsStarted<:holder", atom),
        )

        fun result(solution: A4Solution, atom: String): BatchRecord.ResultsRecorded {
            val item = value(solution, "ResultsRecorded<:resultItem", atom).substringAfter('$').toInt()
            val result =
                ItemResult(item = item, id = atom, outcome = ItemOutcome.DONE, ran = RunStatus.RAN, status = 200)
            val uploadId = value(solution, "ResultsRecorded<:resultUpload", atom)
            return BatchRecord.ResultsRecorded(uploadId, listOf(result), atMillis = 0)
        }

        fun accepted(atom: String) = BatchRecord.JobAccepted(
            uploadId = atom,
            organisation = "organisation",
            jobId = "job",
            digest = atom,
            itemCount = 1,
            slot = Slot("zone", 0),
            upstream = "upstream",
            idempotent = false,
            chunks = listOf(ChunkReference(offset = 0, first = 0)),
            acceptedAtMillis = 0,
            readableMillis = 1,
            through = -1,
        )

        fun value(solution: A4Solution, field: String, atom: String): String =
            tuples(solution, field, 0).first { it.atom(0) == atom }.let { it.atom(it.arity() - 1) }

        fun tuples(solution: A4Solution, name: String, state: Int): List<A4Tuple> {
            val expression = solution.allReachableSigs
                .flatMap { sig -> sig.fields.map { "${sig.label}<:${it.label}" to it } + (sig.label to sig) }
                .first { it.first == "this/$name" }
                .second
            val found = when (expression) {
                is Sig.Field -> solution.eval(expression, state)
                is Sig -> solution.eval(expression, state)
                else -> error("$name is neither a signature nor a field")
            }
            return found.toList()
        }
    }
}
