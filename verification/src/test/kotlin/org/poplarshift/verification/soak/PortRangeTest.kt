package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.shouldBe
import java.net.ServerSocket

/** Guards against soaks at the same time whose nodes take each other's ports. */
class PortRangeTest :
    FunSpec({
        fun withRanges(action: (List<PortRange>) -> Unit) {
            val ranges = List(RANGES) { PortRange.reserve() }
            try {
                action(ranges)
            } finally {
                ranges.forEach { it.close() }
            }
        }

        test("soaks at the same time have different ports, also while no process listens on them") {
            withRanges { ranges ->
                ranges.flatMap { range -> List(NODES) { range.take(PORTS) } }
                    .flatMap { first -> first until first + PORTS }
                    .shouldBeUnique()
            }
        }

        test("ports that a process listens on are passed over") {
            withRanges { ranges ->
                val range = ranges.first()
                val first = range.take(PORTS)
                ServerSocket(first + PORTS + 1).use { range.take(PORTS) shouldBe first + 2 * PORTS }
            }
        }
    }) {
    private companion object {
        const val RANGES = 3
        const val NODES = 11
        const val PORTS = 4
    }
}
