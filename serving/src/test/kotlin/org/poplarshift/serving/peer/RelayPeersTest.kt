package org.poplarshift.serving.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fleet.FleetMember

/** Guards against bodies of submissions that are sent to nodes outside the region of the node that has received them. */
class RelayPeersTest :
    FunSpec({
        data class Case(val name: String, val topic: String, val isRestricted: Boolean, val expected: List<String>)
        val all = listOf("own", "same", "other", "unknown")
        listOf(
            Case("submissions without restrictions", "submissions", isRestricted = false, all),
            Case("submissions with restrictions", "submissions", isRestricted = true, listOf("own", "same")),
            Case("contents with restrictions", "contents", isRestricted = true, listOf("own", "same")),
            Case("other records", "members", isRestricted = true, all),
        ).forEach { case ->
            test("${case.name} are relayed by the nodes of the zones ${case.expected}") {
                val regions = mapOf("own" to "north", "same" to "north", "other" to "south")
                val members = all.map { FleetMember("n-$it", it, "10.0.0.1:1") }
                val self = FleetMember("self", "own", "10.0.0.1:1")
                RelayPeers(self, setOf("submissions", "contents"), regions, {
                    case.isRestricted
                }) { members }.forTopic(case.topic)
                    .map { it.zone } shouldBe case.expected
            }
        }
    })
