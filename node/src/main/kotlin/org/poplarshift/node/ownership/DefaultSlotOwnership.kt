package org.poplarshift.node.ownership

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.vertx.ext.web.Router
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.ownership.SlotAction
import org.poplarshift.core.ownership.SlotConfirmRequest
import org.poplarshift.core.ownership.SlotConfirmResponse
import org.poplarshift.core.ownership.SlotPromiseRequest
import org.poplarshift.core.ownership.SlotPromiseResponse
import org.poplarshift.core.ownership.VmIdentity
import org.poplarshift.core.quota.OwnershipSlotHolding
import org.poplarshift.core.quota.SlotHolding
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.peer.Peer
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerResult
import org.poplarshift.node.peer.peerRoute
import org.poplarshift.ports.VmListResult

/** Runs the slot ownership protocol: reads the log, claims slots, confirms leases, votes, and releases on shutdown. */
class DefaultSlotOwnership(
    private val context: NodeContext,
    private val configuration: ConfigurationStore,
    private val client: PeerClient,
    private val peersRouter: Router,
) : SlotOwnership,
    NodePart {
    private val identity = VmIdentity(
        vm = context.settings.vm,
        incarnation = context.incarnation,
        availabilityZone = context.settings.availabilityZone,
        peerAddress = context.settings.peersAddress,
    )
    private val protocol = OwnershipProtocol(identity)
    private val ownershipLog = OwnershipLog(context, protocol)
    private val mutableOwnedSlots = MutableStateFlow(emptySet<OwnedSlot>())
    private var listedAddresses: Set<String>? = null
    private var isStopped = false

    override val ownedSlots: StateFlow<Set<OwnedSlot>> = mutableOwnedSlots

    /** The slots as the fleet quota uses them. */
    val holding: SlotHolding = OwnershipSlotHolding(identity, protocol)

    override fun isHolding(slot: Slot): Boolean = protocol.lease(slot)?.isUsable(context.clock.millis()) ?: false

    override fun fencingTokenOf(slot: Slot): Long? = protocol.lease(slot)?.claim?.offset?.takeIf { isHolding(slot) }

    override fun holderOf(slot: Slot): Peer? {
        val incarnation = protocol.state.claims[slot]?.incarnation ?: return null
        val member = protocol.state.members[incarnation]
        if (member == null || incarnation == identity.incarnation) return null
        return Peer(member.vm, incarnation, member.availabilityZone, member.peerAddress, isLeaving = false)
    }

    /** Returns the peers address of the process [incarnation], or null when it is unknown or has ended. */
    fun addressOf(incarnation: String): String? =
        protocol.state.members[incarnation]?.takeIf { it.endedAt == null }?.peerAddress

    override suspend fun start() {
        Gauge.builder("poplarshift_owned_slots") { ownedSlots.value.size }.register(context.metrics)
        mountRoutes()
        launchPeriodically(pauseMillis = 0) {
            ownershipLog.readOnce()
            publish()
        }
        launchPeriodically(TICK_MILLIS) { refreshVmList() }
        launchPeriodically(TICK_MILLIS) { tick() }
    }

    override suspend fun leave() = protocol.startLeaving()

    override suspend fun stop() {
        isStopped = true
        protocol.leave(context.clock.millis()).forEach { ownershipLog.append(it) }
        publish()
        log.info { "ownership: released all slots of this node for shutdown" }
    }

    private fun launchPeriodically(pauseMillis: Long, work: suspend () -> Unit) = context.scope.launch {
        while (isActive && !isStopped) {
            work()
            delay(pauseMillis)
        }
    }

    private fun mountRoutes() {
        peersRouter.peerRoute(
            context.scope,
            CONFIRM_PATH,
            SlotConfirmRequest.serializer(),
            SlotConfirmResponse.serializer(),
        ) { protocol.confirm(it, context.clock.millis()) }
        peersRouter.peerRoute(
            context.scope,
            PROMISE_PATH,
            SlotPromiseRequest.serializer(),
            SlotPromiseResponse.serializer(),
        ) { protocol.promise(it, context.clock.millis()) }
    }

    private fun tick() {
        val zone = configuration.current.value.catalogue?.zones?.firstOrNull { it.name == identity.availabilityZone }
        protocol.tick(zone?.slots ?: 0, listedAddresses, context.clock.millis()).forEach { action ->
            context.scope.launch { execute(action) }
        }
        publish()
    }

    /** Runs separately from [tick], so that a slow platform does not delay confirmations by peers. */
    private suspend fun refreshVmList() {
        val listed = (context.vmList.read() as? VmListResult.Vms)?.vms?.map { it.peerAddress }?.toSet()
        // A list without this VM is no evidence that other holders have been removed.
        listedAddresses = listed?.takeIf { identity.peerAddress in it }
    }

    private suspend fun execute(action: SlotAction) {
        when (action) {
            is SlotAction.Append -> ownershipLog.append(action.record)
            is SlotAction.Confirm -> confirm(action)
            is SlotAction.Promise -> promise(action)
        }
    }

    private suspend fun confirm(action: SlotAction.Confirm) {
        val sentMillis = context.clock.millis()
        val result = client.post(
            action.voter.peerAddress,
            CONFIRM_PATH,
            action.request,
            SlotConfirmRequest.serializer(),
            SlotConfirmResponse.serializer(),
        )
        if (result is PeerResult.Answered) {
            protocol.onConfirmResponse(
                result.response,
                sentMillis,
                context.clock.millis(),
            )
        }
    }

    private suspend fun promise(action: SlotAction.Promise) {
        val result = client.post(
            action.voter.peerAddress,
            PROMISE_PATH,
            action.request,
            SlotPromiseRequest.serializer(),
            SlotPromiseResponse.serializer(),
        )
        if (result is PeerResult.Answered) protocol.onPromiseResponse(result.response, context.clock.millis())
    }

    private fun publish() {
        val now = context.clock.millis()
        val usable = protocol.leases().filter {
            it.isUsable(now)
        }.map { OwnedSlot(it.claim.slot, it.claim.offset) }.toSet()
        if (usable == mutableOwnedSlots.value) return
        mutableOwnedSlots.value = usable
        log.info { "ownership: usable slots of this node changed to ${usable.map { it.slot }}" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val CONFIRM_PATH = "/peer/slots/confirm"
        const val PROMISE_PATH = "/peer/slots/promise"
        const val TICK_MILLIS = 1_000L
    }
}
