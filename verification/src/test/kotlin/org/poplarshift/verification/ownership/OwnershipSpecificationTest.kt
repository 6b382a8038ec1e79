package org.poplarshift.verification.ownership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.verification.alloy.AlloyModelChecker

/** Checks the assertions of `ownership.als` and that the broken variants have counterexamples. */
class OwnershipSpecificationTest :
    FunSpec({
        val checker = AlloyModelChecker("ownership.als")

        listOf(
            "checkHolder" to true,
            "checkTokens" to true,
            "checkWithoutWaiting" to false,
            "checkEarlyRestore" to false,
        ).forEach { (command, holds) ->
            test("$command ${if (holds) "holds" else "is refuted"}") {
                checker.holds(command) shouldBe holds
            }
        }

        test("the specification has a trace with a takeover after which the new holder has tokens") {
            checker.run("reachable").satisfiable() shouldBe true
        }
    })
