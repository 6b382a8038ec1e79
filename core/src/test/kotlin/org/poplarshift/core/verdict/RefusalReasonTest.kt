package org.poplarshift.core.verdict

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against two reasons with the same code, which would merge their counters. */
class RefusalReasonTest :
    FunSpec({
        test("every reason has a unique code") {
            RefusalReason.entries.map { it.code }.toSet().size shouldBe RefusalReason.entries.size
        }
    })
