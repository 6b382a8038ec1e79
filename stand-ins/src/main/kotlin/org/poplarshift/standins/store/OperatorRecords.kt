package org.poplarshift.standins.store

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.poplarshift.standins.worker.RegisteredWorker

/** The records that the operator and the workers of the users' platform write to its store. */
object OperatorRecords {
    /** Topic and key of the configuration. */
    const val CONFIGURATION_TOPIC = "keyed.op"
    const val CONFIGURATION_KEY = "config"

    /** Topic of the workers' entries, whose keys are the ids of the workers. */
    const val WORKER_TOPIC = "keyed.servers"

    /** A configuration with [routes] and [organisations]. Bodies of requests have up to [maximumBodyBytes]. */
    fun configuration(
        version: Int,
        routes: List<RouteRecord>,
        organisations: List<OrganisationRecord>,
        maximumBodyBytes: Int = 4_194_304,
    ): String = buildJsonObject {
        put("version", version)
        put("routes", buildJsonArray { routes.forEach { addJsonObject { route(it) } } })
        put("services", services(routes.map { it.service }.distinct()))
        putJsonObject("limits") {
            put("max_header_bytes", 16_384)
            put("max_body_bytes", maximumBodyBytes)
            put("header_timeout_ms", 3_000)
            put("idle_timeout_ms", 15_000)
        }
        putJsonArray("tenants") { organisations.forEach { addJsonObject { organisation(it) } } }
    }.toString()

    /** The entry of [worker]. */
    fun worker(
        service: String,
        worker: RegisteredWorker,
        address: String,
        zone: String,
        slots: Int,
        isDraining: Boolean,
        sequence: Int,
    ): String = buildJsonObject {
        put("service", service)
        put("address", address)
        put("zone", zone)
        put("version", worker.softwareVersion)
        put("slots", slots)
        put("state", if (isDraining) "draining" else "ready")
        put("cold_left_ms", 0)
        put("born", worker.startedMillis)
        put("seq", sequence)
    }.toString()

    /** The body of a submission with [items], which are ids and paths. */
    fun submission(items: List<Pair<String, String>>): String = buildJsonObject {
        putJsonArray("items") {
            for ((id, path) in items) {
                addJsonObject {
                    put("id", id)
                    put("path", path)
                    putJsonObject("headers") { put("X-Poplarshift-Model", "m") }
                    put("body", "eA==")
                    put("tokens", TOKENS_PER_ITEM)
                }
            }
        }
    }.toString()

    private fun JsonObjectBuilder.route(route: RouteRecord) {
        put("name", route.prefix.trim('/'))
        put("host", route.host)
        put("path_prefix", route.prefix)
        put("kind", route.kind)
        put("timeout_ms", 5_000)
        put("target_latency_ms", 400)
        put("priority", if (route.kind == "batch") 2 else 0)
        put("service", route.service)
        put("max_attempts", route.maximumAttempts)
        put("public", false)
        put("sticky", false)
        put("resumable", route.isResumable)
        put("gap_aim_ms", 400)
        if (route.kind != "batch") return
        put("due_ms", 18_000)
        put("max_wait_s", 60)
        put("cap", 1_000_000)
    }

    private fun JsonObjectBuilder.organisation(organisation: OrganisationRecord) {
        put("name", organisation.name)
        putJsonArray("api_keys") { organisation.keys.forEach { add(it) } }
        put("priority", 1)
        put("rate_per_s", organisation.ratePerSecond)
        put("burst", organisation.burst)
    }

    private fun services(names: List<String>): JsonArray = buildJsonArray {
        for (name in names) {
            addJsonObject {
                put("name", name)
                put("health_path", "/health")
                put("max_conns", 200)
                put("protocol", "h1")
                put("tls", false)
            }
        }
    }

    private const val TOKENS_PER_ITEM = 100
}

/** A route of the configuration. */
data class RouteRecord(
    val host: String,
    val prefix: String,
    val kind: String,
    val service: String,
    val isResumable: Boolean = false,
    val maximumAttempts: Int = 3,
)

/** An organisation of the configuration; a rate of 0 is no limit. */
data class OrganisationRecord(
    val name: String,
    val keys: List<String>,
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
)
