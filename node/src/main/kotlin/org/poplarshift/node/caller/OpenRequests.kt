package org.poplarshift.node.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.launch
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore

/** Tracks requests in progress and cancels those whose key is withdrawn. */
class OpenRequests(private val context: NodeContext, private val store: ConfigurationStore) : NodePart {
    private val requests = HashSet<OpenRequest>()

    /** The number of open requests. */
    val size: Int get() = requests.size

    override suspend fun start() {
        context.metrics.gauge("poplarshift.requests.open", this) { it.size.toDouble() }
        context.scope.launch {
            store.current.collect { endWithdrawn(it) }
        }
    }

    /** Adds [request]. Must be called in the same event in which its key was checked. */
    fun add(request: OpenRequest) {
        requests += request
    }

    /** Removes [request], which has ended. */
    fun remove(request: OpenRequest) {
        requests -= request
    }

    private fun endWithdrawn(configuration: Configuration) {
        val valid = configuration.keys.mapTo(HashSet()) { it.keyId }
        val withdrawn = requests.filter { it.keyId != null && it.keyId !in valid }
        if (withdrawn.isEmpty()) return
        log.info { "caller: ending ${withdrawn.size} requests whose keys are withdrawn" }
        withdrawn.forEach { it.end(RefusalReason.KEY_WITHDRAWN) }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
