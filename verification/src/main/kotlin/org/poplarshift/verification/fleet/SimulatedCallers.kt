package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import kotlin.math.ln

/** Generates requests with random arrival times, which the load balancer distributes unevenly over the VMs. */
class SimulatedCallers(private val fleet: FleetSimulation, private val runtime: SimulatedNodeRuntime) {
    private val settings = fleet.settings
    private val random = fleet.random
    private val time = fleet.time
    private val limits = settings.organisations.associate { it.id to CallerLimit(it) }

    /** Starts the requests of [organisation] after a warm-up in which the slots are claimed. */
    fun start(organisation: Organisation) {
        time.after(WARM_UP_MICROS) { scheduleArrival(organisation) }
    }

    private fun scheduleArrival(organisation: Organisation) {
        val requestsPerMicro = organisation.ratePerSecond * settings.demandFactor / 1_000_000
        time.after((-ln(1 - random.nextDouble()) / requestsPerMicro).toLong()) {
            val isWithinLimit = limits.getValue(organisation.id).tryAcquire(time.nowMicros)
            if (isWithinLimit || !settings.areCallersLimited) onArrival(chooseVm(), organisation)
            scheduleArrival(organisation)
        }
    }

    private fun onArrival(vm: SimulatedVm, organisation: Organisation) = vm.run {
        val result = fleet.results.getValue(organisation.id)
        result.offered++
        if (settings.isLocalOnly) {
            if (vm.localQuota.admit(organisation, vm.nowMillis())) {
                fleet.recordAdmission(organisation, vm)
            } else {
                result.refused++
            }
        } else {
            enqueue(vm, organisation, result)
        }
    }

    private fun enqueue(vm: SimulatedVm, organisation: Organisation, result: OrganisationResult) {
        val now = vm.nowMillis()
        val request = WaitingRequest(organisation, now + QUEUE_TIMEOUT_MILLIS)
        vm.book.countRequest(organisation.id, now)
        val queue = vm.waitingRequests.getOrPut(organisation.id) { ArrayDeque() }
        queue += request
        vm.book.changeWaiting(organisation.id, 1)
        runtime.admitWaiting(vm, organisation)
        if (request in queue) retryUntilDeadline(vm, request, queue, result)
    }

    private fun retryUntilDeadline(
        vm: SimulatedVm,
        request: WaitingRequest,
        queue: ArrayDeque<WaitingRequest>,
        result: OrganisationResult,
    ): Unit = time.after(RETRY_PERIOD_MICROS) {
        vm.run {
            if (request in queue) runtime.admitWaiting(vm, request.organisation)
            when {
                request !in queue -> Unit

                vm.nowMillis() < request.deadlineMillis -> retryUntilDeadline(vm, request, queue, result)

                else -> {
                    queue.remove(request)
                    vm.book.changeWaiting(request.organisation.id, -1)
                    result.refused++
                }
            }
        }
    }

    private fun chooseVm(): SimulatedVm {
        val live = fleet.vms.filterNot { it.isEnded }.ifEmpty { fleet.vms }
        val weights = live.map { settings.balancerWeights[it.index % settings.balancerWeights.size] }
        var point = random.nextDouble() * weights.sum()
        return live.zip(weights).firstOrNull { (_, weight) ->
            point -= weight
            point < 0
        }?.first ?: live.last()
    }

    /** One token bucket in front of all VMs; the requests that it admits are within the organisation's limits. */
    private class CallerLimit(private val organisation: Organisation) {
        private var tokens = organisation.burst
        private var atMicros = 0L

        fun tryAcquire(nowMicros: Long): Boolean {
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
        const val QUEUE_TIMEOUT_MILLIS = 250L
        const val RETRY_PERIOD_MICROS = 20_000L
    }
}
