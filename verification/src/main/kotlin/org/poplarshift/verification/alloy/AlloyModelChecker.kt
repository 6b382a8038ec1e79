package org.poplarshift.verification.alloy

import edu.mit.csail.sdg.alloy4.A4Reporter
import edu.mit.csail.sdg.parser.CompUtil
import edu.mit.csail.sdg.translator.A4Options
import edu.mit.csail.sdg.translator.A4Solution
import edu.mit.csail.sdg.translator.A4TupleSet
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod
import kodkod.engine.satlab.SATFactory

/**
 * Runs the commands of an Alloy 6 specification in the resources folder `alloy`. It uses the SAT4J solver, which is
 * pure Java and needs no native library.
 */
class AlloyModelChecker(resource: String) {
    private val module =
        CompUtil.parseEverything_fromString(
            A4Reporter.NOP,
            checkNotNull(javaClass.getResource("/alloy/$resource")) { "no specification /alloy/$resource" }.readText(),
        )

    /** Labels of all `check` and `run` commands. */
    val commands: List<String> = module.allCommands.map { it.label }

    /** Runs the command labelled [label]. A `check` command is satisfiable if its assertion has a counterexample. */
    fun run(label: String): A4Solution {
        val command = module.allCommands.first { it.label == label }
        val options = A4Options()
        options.solver = SATFactory.DEFAULT
        return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.allReachableSigs, command, options)
    }

    /** Returns whether the assertion of the `check` command [label] holds within its scope. */
    fun holds(label: String): Boolean = !run(label).satisfiable()

    /** Returns the atoms of [expression], such as `{ c: Claim | append[c] }`, in one state of [solution]'s trace. */
    fun evaluate(solution: A4Solution, expression: String, state: Int): List<List<String>> {
        val parsed = CompUtil.parseOneExpression_fromString(module, expression)
        val tuples = solution.eval(parsed, state) as A4TupleSet
        return tuples.map { tuple -> (0 until tuple.arity()).map { tuple.atom(it) } }
    }
}
