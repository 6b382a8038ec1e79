package org.poplarshift.verification.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.verification.alloy.AlloyModelChecker

/** Checks the assertions of `configuration.als` and that the broken variant has a counterexample. */
class ConfigurationSpecificationTest :
    FunSpec({
        val checker = AlloyModelChecker("configuration.als")

        listOf("checkReverts" to true, "checkAgree" to true, "checkOneWinner" to true, "checkBroken" to false)
            .forEach { (command, holds) ->
                test("$command ${if (holds) "holds" else "is refuted"}") {
                    checker.holds(command) shouldBe holds
                }
            }

        test("the specification has a trace in which a catalogue and a withdrawn key come into force") {
            checker.run("reachable").satisfiable() shouldBe true
        }
    })
