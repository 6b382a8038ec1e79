package org.poplarshift.verification.fleet

import kotlinx.serialization.KSerializer
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.OwnershipRecord
import org.poplarshift.core.ownership.SlotAction
import org.poplarshift.core.quota.OutgoingShareRequest
import org.poplarshift.core.quota.OutgoingTokenRequest
import org.poplarshift.core.quota.ShareGrant
import org.poplarshift.core.quota.ShareRequest
import org.poplarshift.core.quota.TokenGrant
import org.poplarshift.core.quota.TokenRequest
import org.poplarshift.wire.WireJson

/** Runs the core logic of the nodes: their timers, their messages and the requests that wait for tokens. */
class SimulatedNodeRuntime(private val fleet: FleetSimulation) {
    private val time = fleet.time
    private val network = fleet.network

    /** Starts the timers of [vm]. */
    fun start(vm: SimulatedVm) {
        schedulePeriodically(vm, READ_PERIOD_MICROS) { readLog(vm) }
        schedulePeriodically(vm, READ_PERIOD_MICROS) { tickOwnership(vm) }
        schedulePeriodically(vm, QUOTA_PERIOD_MICROS) { tickQuota(vm) }
    }

    /** Shuts [vm] down: waits for its token leases to end and releases its slots, then calls [onEnded]. */
    fun shutDown(vm: SimulatedVm, onEnded: () -> Unit) {
        vm.isLeaving = true
        vm.keeper.startLeaving()
        vm.book.stopGranting()
        var isDone = false
        schedulePeriodically(vm, QUOTA_PERIOD_MICROS) {
            if (!isDone && !vm.book.hasOutstandingLoans(vm.nowMillis())) {
                isDone = true
                vm.keeper.leave(vm.nowMillis()).forEach { append(vm, it) }
                vm.isEnded = true
                onEnded()
            }
        }
    }

    /** Admits waiting requests of [organisation] in order and requests tokens for the remaining ones. */
    fun admitWaiting(vm: SimulatedVm, organisation: Organisation) {
        val now = vm.nowMillis()
        val queue = vm.waitingRequests.getOrPut(organisation.id) { ArrayDeque() }
        while (queue.isNotEmpty() && vm.book.admit(vm.shares, organisation, now)) {
            queue.removeFirst()
            vm.book.changeWaiting(organisation.id, -1)
            fleet.recordAdmission(organisation, vm)
        }
        var ask = vm.book.nextTokenRequest(vm.shares, organisation, now)
        while (ask != null) {
            requestTokens(vm, organisation, ask)
            ask = vm.book.nextTokenRequest(vm.shares, organisation, now)
        }
    }

    private fun schedulePeriodically(vm: SimulatedVm, periodMicros: Long, action: () -> Unit) {
        time.after(fleet.random.nextLong(periodMicros)) { runPeriodically(vm, periodMicros, action) }
    }

    private fun runPeriodically(vm: SimulatedVm, periodMicros: Long, action: () -> Unit) {
        vm.run {
            action()
            time.after(periodMicros) { runPeriodically(vm, periodMicros, action) }
        }
    }

    private fun readLog(vm: SimulatedVm) {
        val startedMillis = vm.nowMillis()
        val from = vm.keeper.state.nextOffset
        network.send(vm.index, SimulatedNetwork.PLATFORM) {
            val records = fleet.log.readFrom(from)
            network.send(SimulatedNetwork.PLATFORM, vm.index) {
                vm.run {
                    records.forEachIndexed { index, record -> vm.keeper.apply(from + index, record, vm.nowMillis()) }
                    vm.keeper.onReadToEnd(startedMillis)
                }
            }
        }
    }

    private fun tickOwnership(vm: SimulatedVm) {
        val listed = fleet.listedAddresses(vm)
        vm.keeper.tick(fleet.settings.slotsPerZone, listed, vm.nowMillis()).forEach { action ->
            when (action) {
                is SlotAction.Append -> append(vm, action.record)
                is SlotAction.Confirm -> requestConfirmation(vm, action)
                is SlotAction.Promise -> requestPromise(vm, action)
            }
        }
    }

    private fun append(vm: SimulatedVm, record: OwnershipRecord) {
        network.send(vm.index, SimulatedNetwork.PLATFORM) { fleet.log.append(record) }
    }

    private fun requestConfirmation(vm: SimulatedVm, action: SlotAction.Confirm) {
        val sentMillis = vm.nowMillis()
        sendToPeer(vm, action.voter.incarnation) { voter ->
            val response = voter.keeper.confirm(action.request, voter.nowMillis())
            network.send(voter.index, vm.index) {
                vm.run { vm.keeper.onConfirmResponse(response, sentMillis, vm.nowMillis()) }
            }
        }
    }

    private fun requestPromise(vm: SimulatedVm, action: SlotAction.Promise) {
        sendToPeer(vm, action.voter.incarnation) { voter ->
            val response = voter.keeper.promise(action.request, voter.nowMillis())
            network.send(voter.index, vm.index) { vm.run { vm.keeper.onPromiseResponse(response, vm.nowMillis()) } }
        }
    }

    private fun tickQuota(vm: SimulatedVm) {
        vm.book.tick(vm.nowMillis()).forEach { ask ->
            fleet.settings.organisations
                .firstOrNull { it.id == ask.request.organisation }
                ?.let { requestTokens(vm, it, ask) }
        }
        vm.book.nextShareRequests(vm.shares, fleet.settings.organisations, vm.nowMillis()).forEach {
            requestShares(vm, it)
        }
    }

    private fun requestShares(vm: SimulatedVm, ask: OutgoingShareRequest) {
        val organisations = fleet.settings.organisations
        val request = ShareRequest(vm.identity.incarnation, ask.organisations)
        sendToPeer(vm, ask.holder, messageBytes(ShareRequest.serializer(), request)) { holder ->
            val grant = holder.book.lendShares(holder.shares, organisations, request, holder.nowMillis())
            network.send(holder.index, vm.index, messageBytes(ShareGrant.serializer(), grant)) {
                vm.run { vm.book.onShareGrant(vm.shares, organisations, ask, grant, vm.nowMillis()) }
            }
        }
    }

    private fun requestTokens(vm: SimulatedVm, organisation: Organisation, ask: OutgoingTokenRequest) {
        val size = messageBytes(TokenRequest.serializer(), ask.request)
        sendToPeer(vm, ask.holder, size) { holder ->
            val grant = fleet.settings.grantTokens(
                TokenRequestContext(
                    holder.book,
                    holder.shares,
                    organisation,
                    ask.request,
                    holder.nowMillis(),
                ) { delay, action -> time.after(delay) { holder.run(action) } },
            )
            network.send(holder.index, vm.index, messageBytes(TokenGrant.serializer(), grant)) {
                onTokenGrant(vm, organisation, ask, grant)
            }
        }
        time.after(TOKEN_REQUEST_TIMEOUT_MICROS) { onTokenGrant(vm, organisation, ask, null) }
    }

    private fun onTokenGrant(
        vm: SimulatedVm,
        organisation: Organisation,
        ask: OutgoingTokenRequest,
        grant: TokenGrant?,
    ) = vm.run {
        vm.book.onTokenResponse(ask, grant, vm.nowMillis())
        admitWaiting(vm, organisation)
    }

    private fun sendToPeer(vm: SimulatedVm, incarnation: String, size: Int = 0, onDelivery: (SimulatedVm) -> Unit) {
        val index = fleet.vms.firstOrNull { it.identity.incarnation == incarnation }?.index ?: return
        network.send(vm.index, index, size) {
            val peer = fleet.vms[index]
            if (peer.identity.incarnation == incarnation) peer.run { onDelivery(peer) }
        }
    }

    private fun <T> messageBytes(serializer: KSerializer<T>, message: T): Int = if (fleet.settings.hasFaults) {
        1
    } else {
        HTTP_OVERHEAD_BYTES + WireJson.lenient.encodeToString(serializer, message).length
    }

    private companion object {
        const val READ_PERIOD_MICROS = 1_000_000L
        const val QUOTA_PERIOD_MICROS = 100_000L
        const val TOKEN_REQUEST_TIMEOUT_MICROS = 300_000L

        /** Size of the start line and headers of a message between nodes, as the Vert.x client sends them. */
        const val HTTP_OVERHEAD_BYTES = 120
    }
}
