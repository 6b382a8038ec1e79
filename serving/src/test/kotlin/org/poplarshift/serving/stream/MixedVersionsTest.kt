package org.poplarshift.serving.stream

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.poplarshift.core.ingress.WeightedService
import org.poplarshift.serving.fixture.VersionedFleet

/**
 * Guards against streams that hold events of two software versions, within a response or over several requests of their
 * callers, and against streams that are not resumed although workers of their version serve.
 */
class MixedVersionsTest :
    FunSpec({
        class Case(
            val name: String,
            val mustGoOn: Boolean = false,
            val services: List<String> = listOf("service"),
            val play: suspend VersionedFleet.() -> Unit,
        )

        suspend fun VersionedFleet.serveOneVersion() {
            release("1", "old-1", "old-2", slots = 4)
            startNodes()
        }

        suspend fun VersionedFleet.serveTwoVersions() {
            release("1", "old-1", "old-2")
            release("2", "new-1", "new-2")
            startNodes()
            awaitOrigin("service/2")
        }

        val cases = listOf(
            Case("a worker breaks off and the only other worker has another version") {
                release("1", "old-1", slots = 4)
                release("2", "new-1", slots = 4)
                breakingWorkers += "old-1"
                startNodes()
                awaitOrigin("service/2")
                beginAndRead("a")
                takeUp("b")
            },
            Case("a worker of each version breaks off and another one of its version serves", mustGoOn = true) {
                breakingWorkers += listOf("old-1", "new-1")
                serveTwoVersions()
                beginAndRead("a")
                takeUp("b")
            },
            Case("the callers' connections break", mustGoOn = true) {
                serveTwoVersions()
                begin("a", "service/1", "service/2")
                takeUp("b", "c")
            },
            Case("the callers' connections break and they do not name their first requests") {
                doCallersNameRequests = false
                serveTwoVersions()
                begin("a", "service/1", "service/2")
                takeUp("b", "c")
            },
            Case("a second version is released after the start", mustGoOn = true) {
                serveOneVersion()
                begin("a", "service/1")
                release("2", "new-1", "new-2")
                awaitOrigin("service/2")
                takeUp("b", "c")
            },
            Case("the first version leaves after the start") {
                serveTwoVersions()
                begin("a", "service/1", "service/2")
                leave("old-1", "old-2")
                takeUp("b", "c")
            },
            Case("all nodes are killed and two versions serve") {
                serveTwoVersions()
                begin("a", "service/1", "service/2")
                kill("a", "b", "c")
                startNodes()
                takeUp("a", "b")
            },
            Case("all nodes are killed and one of two versions leaves") {
                serveTwoVersions()
                begin("a", "service/1", "service/2")
                kill("a", "b", "c")
                leave("old-1", "old-2")
                startNodes()
                takeUp("a", "b")
            },
            Case("all nodes are killed and another version is released") {
                serveOneVersion()
                begin("a", "service/1")
                kill("a", "b", "c")
                release("2", "new-1", "new-2")
                startNodes()
                takeUp("a", "b")
            },
            Case("all nodes are killed and another version replaces the first") {
                serveOneVersion()
                begin("a", "service/1")
                kill("a", "b", "c")
                leave("old-1", "old-2")
                release("2", "new-1", "new-2")
                startNodes()
                takeUp("a", "b")
            },
            Case("all nodes are killed and one version serves", mustGoOn = true) {
                serveOneVersion()
                begin("a", "service/1")
                kill("a", "b", "c")
                startNodes()
                takeUp("a", "b")
            },
            Case("the node of the take-up has lost the log before a second version came") {
                release("1", "old-1", "old-2")
                startNodes()
                nodes.getValue("b").cutOffFromLog()
                release("2", "new-1", "new-2")
                awaitOrigin("service/2", setOf("a"))
                begin("a", "service/1", "service/2")
                takeUp("b")
            },
            Case("the node of the take-up has lost the log and its peers before a second version came") {
                release("1", "old-1", "old-2")
                startNodes()
                cutOff("b")
                release("2", "new-1", "new-2")
                awaitOrigin("service/2", setOf("a"))
                begin("a", "service/1", "service/2")
                takeUp("b")
            },
            Case("the node of the start has lost the log and its peers before a second version came") {
                serveOneVersion()
                cutOff("b")
                release("2", "new-1", "new-2")
                awaitOrigin("service/2", setOf("a"))
                begin("b", "service/1")
                takeUp("a", "c")
            },
            Case(
                "a worker with idle connections restarts with another version that no node has read",
                mustGoOn = true,
            ) {
                serveOneVersion()
                beginAndRead("a")
                restart("2", "old-1")
                beginAnywhere("a")
                takeUp("b", "c")
            },
            Case("a worker restarts with the other of two versions and no node has read that", mustGoOn = true) {
                serveTwoVersions()
                release("1", "old-3")
                restart("2", "old-1", "old-2")
                beginAnywhere("a")
                takeUp("b", "c")
            },
            Case("a worker restarts with another version unread by the node that the stream began at") {
                serveOneVersion()
                begin("b", "service/1")
                cutOff("b")
                restart("2", "old-1", "old-2", isAnnounced = true)
                awaitOrigin("service/2", setOf("a"))
                takeUp("b")
            },
            Case(
                "a worker restarts with another version while a node is cut off, without open connections",
                mustGoOn = true,
            ) {
                serveOneVersion()
                awaitOrigin("service/1")
                cutOff("b")
                closeIdleConnections()
                restart("2", "old-1", isAnnounced = true)
                awaitOrigin("service/2", setOf("a"))
                beginAnywhere("b")
                takeUp("b")
            },
            Case(
                "a worker restarts with another version while a node's reads of the log stand still",
                mustGoOn = true,
            ) {
                serveOneVersion()
                awaitOrigin("service/1")
                nodes.getValue("b").haltLog()
                nodes.getValue("b").cutOffFromPeers()
                closeIdleConnections()
                restart("2", "old-1", isAnnounced = true)
                beginAnywhere("b")
                takeUp("b")
            },
            Case("both services of the route have two versions", mustGoOn = true, listOf("one", "two")) {
                for (service in listOf("one", "two")) {
                    for (version in listOf("1", "2")) {
                        release(version, "$service-$version-1", "$service-$version-2", service = service)
                    }
                }
                startNodes()
                awaitOrigin("two/2")
                begin("a", "one/1", "one/2", "two/1", "two/2")
                takeUp("b", "c")
            },
            Case(
                "both services of the route have one version and all nodes are killed",
                services = listOf("one", "two"),
            ) {
                listOf("one", "two").forEach { release("1", "$it-1", "$it-2", service = it, slots = 4) }
                startNodes()
                begin("a", "one/1", "two/1")
                kill("a", "b", "c")
                startNodes()
                takeUp("a", "b")
            },
        ) + listOf(setOf("a"), setOf("b"), setOf("c"), setOf("a", "b")).map { gone ->
            Case("the nodes ${gone.joinToString()} are killed, where streams have begun", mustGoOn = true) {
                serveTwoVersions()
                gone.forEach { begin(it, "service/1", "service/2") }
                kill(*gone.toTypedArray())
                takeUp(*nodes.keys.toTypedArray())
            }
        }

        cases.forEach { case ->
            test("no stream is joined from two versions when ${case.name}") {
                val fleet = VersionedFleet()
                try {
                    fleet.sendStreamsTo(case.services.map { WeightedService(it, 1.0) })
                    case.play(fleet)
                    val callers = fleet.callers
                    val report = callers.joinToString("\n") { "${it.origins} ${it.numbers} ${it.statuses}" }
                    withClue("complete: ${callers.count { it.isComplete }} of ${callers.size}\n$report\n") {
                        assertSoftly {
                            callers.filter { it.origins.size > 1 }.map { it.origins }.shouldBeEmpty()
                            callers.filter { it.numbers != it.numbers.indices.map { i -> i + 1 } }.shouldBeEmpty()
                            if (case.mustGoOn) callers.filter { !it.isComplete }.shouldBeEmpty()
                        }
                    }
                    callers.isEmpty() shouldBe false
                } finally {
                    fleet.fleet.close()
                }
            }
        }
    })
