package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.operator.status.AccessQuestion

/** Guards against an explanation that names another reason than the node would. */
class AccessQuestionTest :
    FunSpec({
        val configuration = Configuration(1, 0, TestCatalogue.catalogue, listOf(KeyEntry("k", "shop", "hash")))

        listOf(
            AccessQuestion(keySha256 = "hash", model = "m") to null,
            AccessQuestion(keySha256 = "other", model = "m") to RefusalReason.UNKNOWN_KEY,
            AccessQuestion(organisation = "shop", model = "none") to RefusalReason.BAD_REQUEST,
            AccessQuestion(organisation = "night", model = "m") to RefusalReason.FORBIDDEN_ROUTE,
            AccessQuestion(path = "/page/1") to null,
            AccessQuestion(path = "/none") to RefusalReason.UNKNOWN_ROUTE,
            AccessQuestion(method = "POST", path = "/labels") to RefusalReason.UNKNOWN_KEY,
            AccessQuestion(organisation = "shop", method = "POST", path = "/labels") to RefusalReason.FORBIDDEN_ROUTE,
            AccessQuestion(organisation = "night", method = "POST", path = "/labels") to null,
        ).forEach { (question, reason) ->
            test("$question is refused for $reason") {
                question.refusals(configuration).firstOrNull()?.reason shouldBe reason
            }
        }

        test("a node without a configuration refuses everything") {
            AccessQuestion().refusals(null).single().reason shouldBe RefusalReason.NO_CONFIGURATION
        }
    })
