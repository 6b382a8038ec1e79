package org.poplarshift.verification.client

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.caller.CallerUris
import org.poplarshift.standins.store.OperatorRecords
import java.util.Base64

/**
 * Guards against clients that use up the memory or the descriptors of a node, which then exits, hangs or exceeds its VM.
 *
 * The real program runs as a process. A crowd of clients that do not read or send as they should is connected to it. How
 * many of them the node serves, and when, is not checked.
 *
 * Cases that miss their bound are listed in KNOWN-RED.txt and run with the environment variable KNOWN_RED.
 */
class MisbehavingClientsTest :
    FunSpec({
        val body = NodeSize.SMALL.maximumBodyBytes
        val route = ClientTarget.ROUTE
        val keyless = ClientTarget.ROUTE_WITHOUT_KEY
        val nowhere = ClientTarget.NO_ROUTE
        val longId = "${ClientTarget.REQUEST_ID}: ${"i".repeat(LONG_ID_LENGTH)}"
        val page = ClientTarget.RESULTS.copy(path = CallerUris.results("s", after = 0))

        data class Case(
            val name: String,
            val target: ClientTarget,
            val crowd: Int,
            val script: ClientScript,
            val size: NodeSize = NodeSize.SMALL,
            val isKnownRed: Boolean = false,
            val prepare: ClientNode.() -> Unit = {},
        )
        listOf(
            "a route" to ClientTarget.ROUTE,
            "a route without a key" to ClientTarget.ROUTE_WITHOUT_KEY,
            "a path without a route" to ClientTarget.NO_ROUTE,
            "the readiness path on the callers' port" to ClientTarget.READINESS_PATH,
            "the results of a submission" to ClientTarget.RESULTS,
            "a batch submission" to ClientTarget.BATCH,
            "the readiness port" to ClientTarget.READINESS,
        ).flatMap { (at, target) ->
            listOf(
                Case("short bodies in chunks, at $at", target, 60, ClientScript.shortBodyInChunks(target, body)),
                Case("long bodies in chunks, at $at", target, 60, ClientScript.longBodyInChunks(target, 8 * body)),
                Case("requests sent ahead, at $at", target, 60, ClientScript.sentAhead(target, REQUESTS_AHEAD)),
            )
        }.plus(
            listOf(
                Case("short bodies in one piece", route, 60, ClientScript.shortBody(route, body)),
                Case("slow bodies", route, 500, ClientScript.slowBody(route, body)),
                Case("slow bodies at a path without a route", nowhere, 500, ClientScript.slowBody(nowhere, body)),
                Case("many header fields", route, 150, ClientScript.manyFields(route, MANY_FIELDS)),
                Case("many header fields without a key", keyless, 150, ClientScript.manyFields(keyless, MANY_FIELDS)),
                Case("short bodies in small pieces", route, 60, ClientScript.shortBodyInPieces(route, body)),
                Case("long bodies of a stated length", route, 60, ClientScript.longBody(route, 8 * body)),
                Case("half a head with many fields", route, 150, ClientScript.halfHead(route, MANY_FIELDS)),
                Case(
                    "half a head with many fields, at the readiness port",
                    ClientTarget.READINESS,
                    150,
                    ClientScript.halfHead(ClientTarget.READINESS, MANY_FIELDS),
                ),
                Case("half a head", route, 500, ClientScript.halfHead(route, fields = 1)),
                Case("connections without requests", route, 500, ClientScript.silent()),
                Case(
                    "connections without requests, at the readiness port",
                    ClientTarget.READINESS,
                    500,
                    ClientScript.silent(),
                ),
                Case("large responses that are not read", route, 60, ClientScript.sentAhead(route, 60, longId)),
                Case(
                    "streams that are not read",
                    ClientTarget.STREAM,
                    60,
                    ClientScript.sentAhead(ClientTarget.STREAM, 60, longId),
                ),
                Case(
                    "pages of results that are not read",
                    page,
                    60,
                    ClientScript.sentAhead(page, 200),
                    prepare = { submitItems() },
                ),
                Case(
                    "short bodies at the peer port",
                    ClientTarget.PEERS,
                    60,
                    ClientScript.shortBodyInChunks(ClientTarget.PEERS, body),
                ),
                Case(
                    "long bodies at the peer port",
                    ClientTarget.PEERS,
                    10,
                    ClientScript.longBodyInChunks(ClientTarget.PEERS, 16 * body),
                ),
                Case("connections without requests, at the peer port", ClientTarget.PEERS, 500, ClientScript.silent()),
                Case(
                    "short bodies of the usual size in chunks",
                    route,
                    60,
                    ClientScript.shortBodyInChunks(route, NodeSize.USUAL.maximumBodyBytes),
                    NodeSize.USUAL,
                ),
                Case(
                    "requests sent ahead at a node of the usual size",
                    route,
                    150,
                    ClientScript.sentAhead(route, REQUESTS_AHEAD),
                    NodeSize.USUAL,
                ),
                Case(
                    "whole bodies of the usual size",
                    route,
                    20,
                    ClientScript.wholeBody(route, ByteArray(NodeSize.USUAL.maximumBodyBytes)),
                    NodeSize.USUAL,
                ),
                Case(
                    "large batch submissions",
                    ClientTarget.BATCH,
                    20,
                    ClientScript.wholeBody(ClientTarget.BATCH, largeSubmission()),
                    NodeSize.USUAL,
                ),
                Case(
                    "short bodies of the usual size",
                    route,
                    60,
                    ClientScript.shortBody(route, NodeSize.USUAL.maximumBodyBytes),
                    NodeSize.USUAL,
                ),
                Case(
                    "large responses that are not read, at a node of the usual size",
                    route,
                    150,
                    ClientScript.sentAhead(route, 60, longId),
                    NodeSize.USUAL,
                    isKnownRed = true,
                ),
            ),
        ).forEach { case ->
            test("a node survives ${case.name}").config(enabled = !case.isKnownRed || IS_KNOWN_RED_RUN) {
                ClientNode("clients ${case.name}", case.size).use { node ->
                    node.start()
                    case.prepare(node)
                    var resident = 0
                    var descriptors = 0
                    val sample = {
                        if (node.isAlive) {
                            resident = maxOf(resident, node.residentMegabytes)
                            descriptors = maxOf(descriptors, node.descriptors)
                        }
                    }
                    ClientCrowd(node.addressOf(case.target), case.crowd, case.script).use { it.run(sample) }
                    val isServing = node.servesOrdinaryRequest()
                    sample()
                    val measured = "${case.name}: $resident MB resident, $descriptors descriptors, serving: $isServing"
                    println("clients: $measured")
                    withClue(measured) {
                        node.isAlive shouldBe true
                        isServing shouldBe true
                        resident shouldBeLessThanOrEqual case.size.residentMegabytes
                        descriptors shouldBeLessThanOrEqual case.size.usableDescriptors
                    }
                }
            }
        }

        // The flags that bound direct memory must leave room for a body of the greatest permitted size.
        test("a request of the permitted size is served") {
            ClientNode("clients permitted size", NodeSize.USUAL).use { node ->
                node.start()
                node.send(route, "large", ByteArray(NodeSize.USUAL.maximumBodyBytes)) shouldBe 200
            }
        }
    }) {
    private companion object {
        val IS_KNOWN_RED_RUN = System.getenv("KNOWN_RED") != null

        // Requests of 15 KB, below the limit of 16 KB for the header.
        const val MANY_FIELDS = 2_900

        // 4 MB and more for each connection.
        const val REQUESTS_AHEAD = 30_000

        // Workers repeat the id of a request 30 times in their responses, which have 300 KB then.
        const val LONG_ID_LENGTH = 10_000

        // 200 items, as many as a submission may have, of 20 KB each.
        fun largeSubmission(): ByteArray {
            val items = (1..200).map { "item-$it" to "/run" }
            val body = Base64.getEncoder().encodeToString(ByteArray(15_000))
            return OperatorRecords.submission(items).replace("eA==", body).encodeToByteArray()
        }
    }
}
