package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import kotlin.math.ln

/** Callers with random arrivals, spread unevenly over the VMs by the balancer. */
class SimulatedCallers(private val fleet: FleetSimulation, private val process: SimulatedProcess) {
    private val settings = fleet.settings
    private val random = fleet.random
    private val time = fleet.time
    private val limits = settings.organisations.associate { it.id to CallerLimit(it) }

    /** Starts the requests of [organisation], once the slots have been claimed. */
    fun begin(organisation: Organisation) {
        time.after(WARM_UP_MICROS) { next(organisation) }
    }

    private fun next(organisation: Organisation) {
        val perMicro = organisation.ratePerSecond * settings.demandShare / 1_000_000
        time.after((-ln(1 - random.nextDouble()) / perMicro).toLong()) {
            val isWithin = limits.getValue(organisation.id).take(time.nowMicros)
            if (isWithin || !settings.isWithinLimits) arrive(choose(), organisation)
            next(organisation)
        }
    }

    private fun arrive(vm: SimulatedVm, organisation: Organisation) = vm.run {
        val result = fleet.results.getValue(organisation.id)
        result.offered++
        if (settings.isLocalOnly) {
            if (vm.local.admit(organisation, vm.nowMillis())) fleet.admitted(organisation, vm) else result.refused++
        } else {
            enqueue(vm, organisation, result)
        }
    }

    private fun enqueue(vm: SimulatedVm, organisation: Organisation, result: OrganisationResult) {
        val now = vm.nowMillis()
        val request = WaitingRequest(organisation, now + WAIT_MILLIS)
        vm.book.countRequest(organisation.id, now)
        val queue = vm.waiting.getOrPut(organisation.id) { ArrayDeque() }
        queue += request
        vm.book.changeWaiting(organisation.id, 1)
        process.serve(vm, organisation)
        if (request in queue) waitOn(vm, request, queue, result)
    }

    private fun waitOn(
        vm: SimulatedVm,
        request: WaitingRequest,
        queue: ArrayDeque<WaitingRequest>,
        result: OrganisationResult,
    ): Unit = time.after(RETRY_MICROS) {
        vm.run {
            if (request in queue) process.serve(vm, request.organisation)
            when {
                request !in queue -> Unit

                vm.nowMillis() < request.deadlineMillis -> waitOn(vm, request, queue, result)

                else -> {
                    queue.remove(request)
                    vm.book.changeWaiting(request.organisation.id, -1)
                    result.refused++
                }
            }
        }
    }

    private fun choose(): SimulatedVm {
        val live = fleet.vms.filterNot { it.isEnded }.ifEmpty { fleet.vms }
        val weights = live.map { settings.spread[it.place % settings.spread.size] }
        var point = random.nextDouble() * weights.sum()
        return live.zip(weights).firstOrNull { (_, weight) ->
            point -= weight
            point < 0
        }?.first ?: live.last()
    }

    /** The organisation's limits as one bucket at the callers: what it lets pass is within the rate. */
    private class CallerLimit(private val organisation: Organisation) {
        private var tokens = organisation.burst
        private var atMicros = 0L

        fun take(nowMicros: Long): Boolean {
            val refill = (nowMicros - atMicros) * organisation.ratePerSecond / 1_000_000
            tokens = minOf(organisation.burst, tokens + refill)
            atMicros = nowMicros
            if (tokens < 1) return false
            tokens -= 1
            return true
        }
    }

    private companion object {
        const val WARM_UP_MICROS = 20_000_000L
        const val WAIT_MILLIS = 250L
        const val RETRY_MICROS = 20_000L
    }
}
