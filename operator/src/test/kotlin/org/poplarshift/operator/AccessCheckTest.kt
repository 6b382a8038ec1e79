package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.operator.status.AccessCheck

/** Guards against a check that reports a different refusal reason than the node. */
class AccessCheckTest :
    FunSpec({
        val configuration = Configuration(1, 0, TestCatalogue.catalogue, listOf(KeyEntry("k", "shop", "hash")))

        listOf(
            AccessCheck(keySha256 = "hash", model = "m") to null,
            AccessCheck(keySha256 = "other", model = "m") to RefusalReason.UNKNOWN_KEY,
            AccessCheck(organisation = "shop", model = "none") to RefusalReason.BAD_REQUEST,
            AccessCheck(organisation = "night", model = "m") to RefusalReason.FORBIDDEN_ROUTE,
            AccessCheck(path = "/page/1") to null,
            AccessCheck(path = "/none") to RefusalReason.UNKNOWN_ROUTE,
            AccessCheck(method = "POST", path = "/labels") to RefusalReason.UNKNOWN_KEY,
            AccessCheck(organisation = "shop", method = "POST", path = "/labels") to RefusalReason.FORBIDDEN_ROUTE,
            AccessCheck(organisation = "night", method = "POST", path = "/labels") to null,
        ).forEach { (accessCheck, reason) ->
            test("the refusal reason of $accessCheck is $reason") {
                accessCheck.refusals(configuration).firstOrNull()?.reason shouldBe reason
            }
        }

        test("a node without a configuration refuses every request") {
            AccessCheck().refusals(null).single().reason shouldBe RefusalReason.NO_CONFIGURATION
        }
    })
