package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.io.File

/** Guards against broken promises of the real programs under faults. Seeds that ever failed are kept here. */
class SoakTest :
    FunSpec({
        // Seed 2: responses without an id were given to other callers, and a SIGHUP ended a node that was starting.
        test("a soak of a minute breaks no promise") {
            val root = File(checkNotNull(System.getProperty("poplarshift.root")))
            val settings = SoakSettings(
                seed = 2,
                seconds = 48,
                nodes = 5,
                directory = File(root, "target/soak/test"),
                program = File(root, "target/poplarshift-node/poplarshift-node.jar"),
            )
            Soak(settings).run().violations.shouldBeEmpty()
        }
    })
