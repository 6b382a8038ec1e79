package org.poplarshift.standins.platform

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import org.poplarshift.standins.StandIn
import org.poplarshift.standins.http.StandInServer
import org.poplarshift.standins.http.decodeStrictly
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond

/** Simulates the platform: log service, VM list and weight store on one port. */
class PlatformStandIn(private val vertx: Vertx, private val settings: PlatformSettings = PlatformSettings()) : StandIn {
    private val server = StandInServer(vertx, settings.host, settings.port)
    private val logRoutes = LogRoutes(vertx)
    private val registry = VmRegistry(settings.vms)
    private val probe = if (settings.probeVms) VmProbe(vertx, registry, settings.vms) else null
    private val weightBucket = TokenBucket()

    /** The faults that are currently injected. */
    @Volatile
    var faults: PlatformFaults = settings.faults
        private set

    override val name = "platform"

    override val port: Int
        get() = server.port

    override suspend fun start() {
        server.start(router())
        applyFaults(settings.faults)
        server.run { probe?.start() }
    }

    override suspend fun stop() {
        probe?.stop()
        server.stop()
    }

    /** Replaces the injected faults, as `PUT /faults` does. */
    fun applyFaults(newFaults: PlatformFaults) {
        faults = newFaults
        server.partitionedSources = newFaults.partitionedSources
        server.run { logRoutes.applyFaults(newFaults) }
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_RECORD_BYTES))
        logRoutes.mount(router)
        router.get("/vms").handler(::listVms)
        router.put("/vms").handler { context ->
            context.decodeStrictly(VmsBody.serializer())?.let {
                registry.replace(it.vms, monotonicMillis())
                context.respond(it)
            }
        }
        router.post("/weights/:model/reservations").handler(::reserveWeightLoad)
        router.get("/faults").handler { it.respond(faults) }
        router.put("/faults").handler { context ->
            context.decodeStrictly(PlatformFaults.serializer())?.let {
                applyFaults(it)
                context.respond(it)
            }
        }
        return router
    }

    private fun listVms(context: RoutingContext) {
        if (faults.vmListOutage.intercepts(context)) return
        context.respond(VmsBody(registry.at(monotonicMillis() - faults.vmListLagMillis)))
    }

    private fun reserveWeightLoad(context: RoutingContext) {
        if (faults.weightStoreOutage.intercepts(context)) return
        val rate = faults.weightLoadsPerMinute / MILLIS_PER_MINUTE
        if (weightBucket.tryAcquire(rate, capacity = 1.0, monotonicMillis())) {
            context.response().end()
        } else {
            val seconds = (MILLIS_PER_MINUTE / faults.weightLoadsPerMinute / MILLIS_PER_SECOND).toLong()
            context.response().setStatusCode(429).putHeader("Retry-After", "${maxOf(1, seconds)}").end()
        }
    }

    private companion object {
        const val MAXIMUM_RECORD_BYTES = 4_194_304L
        const val MILLIS_PER_MINUTE = 60_000.0
        const val MILLIS_PER_SECOND = 1_000
    }
}
