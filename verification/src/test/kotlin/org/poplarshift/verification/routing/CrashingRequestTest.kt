package org.poplarshift.verification.routing

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.node.Node
import org.poplarshift.node.NodeFactory
import org.poplarshift.node.PlatformPortsFactory
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.node.settings.PlatformSettings
import org.poplarshift.node.settings.QuotaMode
import org.poplarshift.ports.HttpLogService
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a request that crashes one engine after another when its caller resends it. Runs two nodes and five
 * engine stand-ins on loopback.
 */
class CrashingRequestTest :
    FunSpec({
        val key = "psk_" + "k".repeat(43)
        val http = HttpClient.newHttpClient()

        fun freeAddress() = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"

        fun catalogue(engines: List<EngineStandIn>) = Catalogue(
            zones = listOf(AvailabilityZone("thimi", "bagmati")),
            organisations = listOf(Organisation("office", "owner", ratePerSecond = 1e3, burst = 1e3)),
            upstreams = listOf(
                Upstream(
                    id = "block-writer",
                    owner = "owner",
                    kind = UpstreamKind.MODEL,
                    workers = engines.mapIndexed { index, engine ->
                        Worker("w$index", "127.0.0.1:${engine.port}", "thimi", capacity = 8)
                    },
                    models = listOf("writer"),
                    retryBudgetShare = 0.5,
                ),
            ),
        )

        suspend fun publish(log: HttpLogService, catalogue: Catalogue) {
            val serializer = LogEnvelope.serializer(ConfigurationRecord.serializer())
            listOf(
                ConfigurationRecord.CataloguePublished(ConfigurationRecord.NO_VERSION, catalogue),
                ConfigurationRecord.KeyIssued("key", "office", KeyDirectory.hash(key)),
            ).forEachIndexed { index, record ->
                val envelope = LogEnvelope("operator", index.toLong(), record)
                log.append(LogStream.CONFIGURATION, WireJson.lenient.encodeToString(serializer, envelope))
            }
        }

        fun node(address: String, peer: String, platform: String): Node {
            val settings = NodeSettings(
                vm = "vm-$address",
                availabilityZone = "thimi",
                callersAddress = freeAddress(),
                peersAddress = address,
                platform = PlatformSettings(platform, platform, platform),
                seedPeers = listOf(peer),
                quotaMode = QuotaMode.LOCAL,
            )
            return NodeFactory.create(settings) { PlatformPortsFactory.create(it, settings) }
        }

        suspend fun complete(node: Node, prompt: String): Int = withContext(Dispatchers.IO) {
            val body = """{"model":"writer","prompt":"$prompt","max_tokens":20}"""
            val uri = URI("http://${node.context.settings.callersAddress}/v1/completions")
            val request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer $key")
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
            http.send(request, BodyHandlers.ofString()).statusCode()
        }

        test("a resent crashing request crashes at most two engines, and no other request is quarantined") {
            val vertx = Vertx.vertx()
            val platform = PlatformStandIn(vertx).also { it.start() }
            val engines = List(5) { EngineStandIn(vertx, EngineSettings("w$it")).also { engine -> engine.start() } }
            val address = "127.0.0.1:${platform.port}"
            publish(HttpLogService(WebClient.create(vertx), address), catalogue(engines))
            val peers = List(2) { freeAddress() }
            val nodes = listOf(node(peers[0], peers[1], address), node(peers[1], peers[0], address))
            try {
                nodes.forEach { it.start() }
                eventually(20.seconds) {
                    nodes.forEach { complete(it, "warm up") shouldBe 200 }
                    nodes.forEach { it.peers.peers.value.size shouldBe 1 }
                }
                coroutineScope {
                    val otherRequests = List(12) { caller ->
                        async { List(20) { complete(nodes[caller % 2], "innocent $caller $it") } }
                    }
                    val crashing = List(8) { complete(nodes[it % 2], "please [[crash]]") }
                    crashing.last() shouldBe 422
                    val statuses = otherRequests.awaitAll().flatten()
                    println(
                        "quarantine: crashing request got $crashing, others ${statuses.groupingBy {
                            it
                        }.eachCount()}",
                    )
                    statuses shouldNotContain 422
                }
                engines.sumOf { it.crashes } shouldBeLessThanOrEqual 2
            } finally {
                nodes.forEach { it.context.vertx.close().coAwait() }
                vertx.close().coAwait()
            }
        }
    })
