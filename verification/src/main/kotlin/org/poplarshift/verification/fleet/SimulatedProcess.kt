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

/** What a node does around the pure core: timers, messages, waiting requests. */
class SimulatedProcess(private val fleet: FleetSimulation) {
    private val time = fleet.time
    private val network = fleet.network

    /** Starts the timers of [vm]. */
    fun begin(vm: SimulatedVm) {
        every(vm, READ_MICROS) { readLog(vm) }
        every(vm, READ_MICROS) { tickOwnership(vm) }
        every(vm, QUOTA_TICK_MICROS) { tickQuota(vm) }
    }

    /** Lets [vm] finish its token leases, release its slots and end; then [afterwards] runs. */
    fun leave(vm: SimulatedVm, afterwards: () -> Unit) {
        vm.isLeaving = true
        vm.keeper.startLeaving()
        vm.book.stopGranting()
        var isDone = false
        every(vm, QUOTA_TICK_MICROS) {
            if (!isDone && !vm.book.hasOutstandingLoans(vm.nowMillis())) {
                isDone = true
                vm.keeper.leave(vm.nowMillis()).forEach { append(vm, it) }
                vm.isEnded = true
                afterwards()
            }
        }
    }

    /** Admits waiting requests of [organisation] in order and asks for tokens for the rest. */
    fun serve(vm: SimulatedVm, organisation: Organisation) {
        val now = vm.nowMillis()
        val queue = vm.waiting.getOrPut(organisation.id) { ArrayDeque() }
        while (queue.isNotEmpty() && vm.book.admit(vm.shares, organisation, now)) {
            queue.removeFirst()
            vm.book.changeWaiting(organisation.id, -1)
            fleet.admitted(organisation, vm)
        }
        var ask = vm.book.nextTokenRequest(vm.shares, organisation, now)
        while (ask != null) {
            send(vm, organisation, ask)
            ask = vm.book.nextTokenRequest(vm.shares, organisation, now)
        }
    }

    private fun every(vm: SimulatedVm, periodMicros: Long, action: () -> Unit) {
        time.after(fleet.random.nextLong(periodMicros)) { repeatEvery(vm, periodMicros, action) }
    }

    private fun repeatEvery(vm: SimulatedVm, periodMicros: Long, action: () -> Unit) {
        vm.run {
            action()
            time.after(periodMicros) { repeatEvery(vm, periodMicros, action) }
        }
    }

    private fun readLog(vm: SimulatedVm) {
        val startedMillis = vm.nowMillis()
        val from = vm.keeper.state.nextOffset
        network.send(vm.place, SimulatedNetwork.PLATFORM) {
            val records = fleet.log.readFrom(from)
            network.send(SimulatedNetwork.PLATFORM, vm.place) {
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
                is SlotAction.Confirm -> confirm(vm, action)
                is SlotAction.Promise -> promise(vm, action)
            }
        }
    }

    private fun append(vm: SimulatedVm, record: OwnershipRecord) {
        network.send(vm.place, SimulatedNetwork.PLATFORM) { fleet.log.append(record) }
    }

    private fun confirm(vm: SimulatedVm, action: SlotAction.Confirm) {
        val sentMillis = vm.nowMillis()
        toPeer(vm, action.voter.incarnation) { voter ->
            val response = voter.keeper.confirm(action.request, voter.nowMillis())
            network.send(voter.place, vm.place) {
                vm.run { vm.keeper.onConfirmResponse(response, sentMillis, vm.nowMillis()) }
            }
        }
    }

    private fun promise(vm: SimulatedVm, action: SlotAction.Promise) {
        toPeer(vm, action.voter.incarnation) { voter ->
            val response = voter.keeper.promise(action.request, voter.nowMillis())
            network.send(voter.place, vm.place) { vm.run { vm.keeper.onPromiseResponse(response, vm.nowMillis()) } }
        }
    }

    private fun tickQuota(vm: SimulatedVm) {
        vm.book.tick(vm.nowMillis()).forEach { ask ->
            fleet.settings.organisations.firstOrNull { it.id == ask.request.organisation }?.let { send(vm, it, ask) }
        }
        vm.book.nextShareRequests(vm.shares, fleet.settings.organisations, vm.nowMillis()).forEach { borrow(vm, it) }
    }

    private fun borrow(vm: SimulatedVm, ask: OutgoingShareRequest) {
        val organisations = fleet.settings.organisations
        val request = ShareRequest(vm.identity.incarnation, ask.organisations)
        toPeer(vm, ask.holder, size(ShareRequest.serializer(), request)) { giver ->
            val grant = giver.book.lendShares(giver.shares, organisations, request, giver.nowMillis())
            network.send(giver.place, vm.place, size(ShareGrant.serializer(), grant)) {
                vm.run { vm.book.onShareGrant(vm.shares, organisations, ask, grant, vm.nowMillis()) }
            }
        }
    }

    private fun send(vm: SimulatedVm, organisation: Organisation, ask: OutgoingTokenRequest) {
        val size = size(TokenRequest.serializer(), ask.request)
        toPeer(vm, ask.holder, size) { giver ->
            val grant = fleet.settings.giver(
                GiverCall(giver.book, giver.shares, organisation, ask.request, giver.nowMillis()) { delay, action ->
                    time.after(delay) { giver.run(action) }
                },
            )
            network.send(giver.place, vm.place, size(TokenGrant.serializer(), grant)) {
                answer(vm, organisation, ask, grant)
            }
        }
        time.after(ASK_TIMEOUT_MICROS) { answer(vm, organisation, ask, null) }
    }

    private fun answer(vm: SimulatedVm, organisation: Organisation, ask: OutgoingTokenRequest, grant: TokenGrant?) =
        vm.run {
            vm.book.onTokenResponse(ask, grant, vm.nowMillis())
            serve(vm, organisation)
        }

    private fun toPeer(vm: SimulatedVm, incarnation: String, size: Int = 0, arrive: (SimulatedVm) -> Unit) {
        val place = fleet.vms.firstOrNull { it.identity.incarnation == incarnation }?.place ?: return
        network.send(vm.place, place, size) {
            val peer = fleet.vms[place]
            if (peer.identity.incarnation == incarnation) peer.run { arrive(peer) }
        }
    }

    private fun <T> size(serializer: KSerializer<T>, message: T): Int =
        if (fleet.settings.hasFaults) 1 else HTTP_BYTES + WireJson.lenient.encodeToString(serializer, message).length

    private companion object {
        const val READ_MICROS = 1_000_000L
        const val QUOTA_TICK_MICROS = 100_000L
        const val ASK_TIMEOUT_MICROS = 300_000L

        /** Request or status line and headers of a message between nodes, as the Vert.x client sends them. */
        const val HTTP_BYTES = 120
    }
}
