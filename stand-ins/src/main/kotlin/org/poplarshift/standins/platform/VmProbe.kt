package org.poplarshift.standins.platform

import io.vertx.core.AsyncResult
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import org.poplarshift.standins.http.monotonicMillis
import java.net.ConnectException

/**
 * Updates the VM list from the state of the processes, as a platform that runs the VMs does.
 *
 * A VM whose peers listener refuses connections is removed from the list. A VM that was ready and does not respond with
 * 200 on `/health/ready` any more is leaving. A VM that does not respond keeps its state, because a paused VM still
 * exists.
 */
internal class VmProbe(
    private val vertx: Vertx,
    private val registry: VmRegistry,
    private val configuredVms: List<Vm>,
) {
    private val client = WebClient.create(vertx)
    private val vmsSeenReady = mutableSetOf<String>()
    private val states = mutableMapOf<String, VmState?>()
    private var timer: Long? = null

    /** Starts probing. The list is empty until the first responses arrive. */
    fun start() {
        registry.replace(emptyList(), monotonicMillis())
        timer = vertx.setPeriodic(0, INTERVAL_MILLIS) { configuredVms.forEach(::probe) }
    }

    /** Stops probing. */
    fun stop() {
        timer?.let(vertx::cancelTimer)
        client.close()
    }

    private fun probe(vm: Vm) {
        val host = vm.peerAddress.substringBeforeLast(':')
        val port = vm.peerAddress.substringAfterLast(':').toInt()
        client.get(port, host, "/health/ready").timeout(INTERVAL_MILLIS).send().onComplete { recordResult(vm, it) }
    }

    private fun recordResult(vm: Vm, result: AsyncResult<HttpResponse<Buffer>>) {
        if (result.failed() && result.cause() !is ConnectException) return
        if (result.succeeded() && result.result().statusCode() == HTTP_OK) vmsSeenReady += vm.vm
        states[vm.vm] = when {
            result.failed() -> null
            result.result().statusCode() != HTTP_OK && vm.vm in vmsSeenReady -> VmState.LEAVING
            else -> VmState.LIVE
        }
        if (result.failed()) vmsSeenReady -= vm.vm
        val listed = configuredVms.mapNotNull { configuredVm ->
            states[configuredVm.vm]?.let { configuredVm.copy(state = it) }
        }
        registry.replace(listed, monotonicMillis())
    }

    private companion object {
        const val INTERVAL_MILLIS = 500L
        const val HTTP_OK = 200
    }
}
