package org.poplarshift.verification.scenario

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.federation.FederationDescription
import org.poplarshift.standins.platform.PlatformSettings
import org.poplarshift.standins.platform.Vm
import org.poplarshift.standins.platform.VmsBody
import org.poplarshift.standins.service.ServiceSettings
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson
import java.io.File

/** A federation of OS processes: one process for all stand-ins and one for each node. */
class Federation(val plan: FederationPlan, private val scenario: String) : AutoCloseable {
    val http = JsonClient()
    val relay = PeerRelay()
    private val processes = LinkedHashMap<String, JavaProcess>()
    private var nextSequence = 0L

    /** The version of the newest catalogue published by [publish]. */
    var catalogueVersion = ConfigurationRecord.NO_VERSION
        private set

    /** The offset of the newest record that this object appended to the stream `configuration`. */
    var newestOffset = ConfigurationRecord.NO_VERSION
        private set

    /** Starts the stand-ins and waits until the platform stand-in responds. */
    fun startStandIns() {
        val description = FederationDescription(
            platform = PlatformSettings(
                port = plan.platformPort,
                vms = plan.nodes.map { vmEntry(it) },
            ),
            engines = plan.engines.map {
                EngineSettings(worker = it.id, port = port(it.address), capacity = it.capacity)
            },
            services = plan.services.map { ServiceSettings(worker = it.id, port = port(it.address)) },
        )
        val file =
            writeFile(
                "federation.json",
                WireJson.strict.encodeToString(FederationDescription.serializer(), description),
            )
        launch(
            "stand-ins",
            "org.poplarshift.standins.StandInsMainKt",
            listOf("federation", file.path),
            STAND_INS_HEAP_MEGABYTES,
        )
        Deadline.await(START_SECONDS, "the platform stand-in responds") {
            http.send("GET", platformAddress, "/vms").statusCode() == HTTP_OK
        }
        plan.nodes.forEach { relay.forward(from = it.peerAddress, to = it.peerListenAddress) }
    }

    val platformAddress: String get() = "127.0.0.1:${plan.platformPort}"

    /** Starts the node [vm] without waiting until it is ready. */
    fun startNode(vm: String) {
        val file = writeFile("$vm.json", Json.encodeToString(JsonObject.serializer(), settings(plan.node(vm))))
        launch(vm, "org.poplarshift.node.NodeMainKt", listOf("--settings", file.path), NODE_HEAP_MEGABYTES)
    }

    /** Replaces the platform's VM list with the nodes [vms]. */
    fun setVmList(vms: List<String>) {
        val body = WireJson.strict.encodeToString(VmsBody.serializer(), VmsBody(vms.map { vmEntry(plan.node(it)) }))
        val response = http.send("PUT", platformAddress, "/vms", body)
        check(response.statusCode() in HTTP_OK until HTTP_REDIRECT) {
            "replacing the VM list failed: ${response.statusCode()} ${response.body()}"
        }
    }

    private fun vmEntry(node: PlannedNode) =
        Vm(vm = node.vm, availabilityZone = node.zone, peerAddress = node.peerAddress.hostAndPort())

    /** Waits until the node [vm] is ready. */
    fun awaitReady(vm: String) = Deadline.await(START_SECONDS, "$vm is ready, see ${processes[vm]?.logFile}") {
        http.send("GET", plan.node(vm).peerListenAddress.hostAndPort(), "/health/ready").statusCode() == HTTP_OK
    }

    /** Returns the process of the node [vm], or of the stand-ins if [vm] is [STAND_INS]. */
    fun process(vm: String): JavaProcess = processes.getValue(vm)

    /** Publishes [catalogue] based on the newest published version. */
    fun publish(catalogue: Catalogue) {
        catalogueVersion = publishBasedOn(catalogueVersion, catalogue)
    }

    /** Publishes [catalogue] as an edit of the version [basedOn] and returns the offset of the record. */
    fun publishBasedOn(basedOn: Long, catalogue: Catalogue): Long =
        append(ConfigurationRecord.CataloguePublished(basedOn, catalogue))

    /** Issues [key] to [organisation]. */
    fun issueKey(organisation: String, key: String) {
        append(ConfigurationRecord.KeyIssued(keyId(key), organisation, KeyDirectory.hash(key)))
    }

    /** Withdraws [key] and returns the offset of the record. */
    fun withdrawKey(key: String): Long = append(ConfigurationRecord.KeyWithdrawn(keyId(key)))

    /** Appends a record to the stream `configuration` and returns its offset. */
    fun append(record: ConfigurationRecord): Long {
        val envelope = LogEnvelope(producer = "operator-$scenario", sequence = nextSequence++, record = record)
        val serializer = LogEnvelope.serializer(ConfigurationRecord.serializer())
        val line = WireJson.lenient.encodeToString(serializer, envelope)
        val response = http.send("POST", platformAddress, "/log/${LogStream.CONFIGURATION}/records", line)
        check(response.statusCode() == HTTP_OK) { "append failed: ${response.statusCode()} ${response.body()}" }
        newestOffset = Json.parseToJsonElement(response.body()).jsonObject.getValue("offset").jsonPrimitive.long
        return newestOffset
    }

    /** Replaces the faults of the stand-in at [address]. */
    fun setFaults(address: String, faults: Map<String, JsonPrimitive>) {
        val response = http.send("PUT", address, "/faults", JsonObject(faults).toString())
        check(response.statusCode() in HTTP_OK until HTTP_REDIRECT) {
            "setting faults at $address failed: ${response.statusCode()} ${response.body()}"
        }
    }

    /** Sets faults that make the stand-in at [address] unresponsive to the nodes [vms]; clears other faults. */
    fun setPartitionedSources(address: String, vms: List<String>) {
        val sources = buildJsonObject {
            putJsonArray("partitionedSources") {
                vms.forEach { add(plan.node(it).peerListenAddress.address.hostAddress) }
            }
        }
        val response = http.send("PUT", address, "/faults", sources.toString())
        check(response.statusCode() in HTTP_OK until HTTP_REDIRECT) {
            "setting faults at $address failed: ${response.statusCode()} ${response.body()}"
        }
    }

    override fun close() {
        processes.values.forEach { it.resume() }
        processes.values.forEach { it.kill() }
        relay.close()
    }

    private fun settings(node: PlannedNode): JsonObject = buildJsonObject {
        put("vm", node.vm)
        put("availabilityZone", node.zone)
        put("callersAddress", node.callerAddress.hostAndPort())
        put("peersAddress", node.peerAddress.hostAndPort())
        put("peersListenAddress", node.peerListenAddress.hostAndPort())
        putJsonObject("platform") {
            put("logAddress", platformAddress)
            put("vmListAddress", platformAddress)
            put("weightStoreAddress", platformAddress)
        }
        putJsonArray("seedPeers") { (plan.nodes - node).forEach { add(it.peerAddress.hostAndPort()) } }
        putJsonObject("shutdown") { put("listLagMillis", 1_000) }
    }

    private fun launch(name: String, mainClass: String, arguments: List<String>, megabytes: Int) {
        processes[name] = JavaProcess("$scenario/$name", mainClass, arguments, megabytes)
    }

    private fun writeFile(name: String, content: String): File = File("target/scenarios/$scenario/$name").apply {
        parentFile.mkdirs()
        writeText(content)
    }

    private fun port(address: String): Int = address.substringAfterLast(':').toInt()

    private fun keyId(key: String): String = "id-$key"

    companion object {
        /** Name of the process that runs all stand-ins. */
        const val STAND_INS = "stand-ins"
        private const val HTTP_OK = 200
        private const val HTTP_REDIRECT = 300
        private const val START_SECONDS = 40L
        private const val NODE_HEAP_MEGABYTES = 256
        private const val STAND_INS_HEAP_MEGABYTES = 512
    }
}
