package org.poplarshift.node.quota

import io.vertx.ext.web.Router
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.quota.FleetRateLimiter
import org.poplarshift.core.quota.OutgoingShareRequest
import org.poplarshift.core.quota.OutgoingTokenRequest
import org.poplarshift.core.quota.QuotaShares
import org.poplarshift.core.quota.ShareGrant
import org.poplarshift.core.quota.ShareRequest
import org.poplarshift.core.quota.SlotHolding
import org.poplarshift.core.quota.TokenGrant
import org.poplarshift.core.quota.TokenRequest
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.peer.peerRoute
import kotlin.math.ceil

/** Enforces each organisation's rate and burst over all VMs, and grants tokens and shares to other nodes. */
class FleetQuotaGate(
    private val context: NodeContext,
    private val configuration: ConfigurationStore,
    private val peersRouter: Router,
    private val messenger: QuotaMessenger,
    holding: SlotHolding,
) : QuotaGate,
    NodePart {
    private val rateLimiter = FleetRateLimiter(holding)
    private val waiting = HashMap<String, ArrayDeque<CompletableDeferred<Unit>>>()
    private var cachedShares: Pair<Catalogue, QuotaShares>? = null
    private val messageCounter = context.metrics.counter("poplarshift_quota_messages_total")

    override suspend fun admit(organisation: Organisation): QuotaDecision {
        val shares = shares() ?: return QuotaDecision.Refused(RefusalReason.NO_CONFIGURATION, QUOTA_WAIT_MILLIS)
        val now = context.clock.millis()
        rateLimiter.countRequest(organisation.id, now)
        val queue = waiting.getOrPut(organisation.id) { ArrayDeque() }
        val isAdmitted = queue.isEmpty() && rateLimiter.admit(shares, organisation, now)
        if (!isAdmitted && !awaitToken(organisation, queue)) return refuse(organisation)
        requestTokens(shares, organisation)
        return QuotaDecision.Admitted
    }

    override suspend fun start() {
        val scope = context.scope
        val (tokens, shares) = QuotaMessenger.TOKENS_PATH to QuotaMessenger.SHARES_PATH
        peersRouter.peerRoute(scope, tokens, TokenRequest.serializer(), TokenGrant.serializer(), ::grantTokens)
        peersRouter.peerRoute(scope, shares, ShareRequest.serializer(), ShareGrant.serializer(), ::grantShares)
        scope.launch {
            while (isActive) {
                tick()
                delay(TICK_MILLIS)
            }
        }
    }

    override suspend fun leave() = rateLimiter.stopGranting()

    /** Waits until all grants of this node have expired, so that its slots can be released. */
    override suspend fun stop() {
        withTimeoutOrNull(LONGEST_SETTLEMENT_MILLIS) {
            while (rateLimiter.hasOutstandingLoans(context.clock.millis())) delay(TICK_MILLIS)
        }
    }

    private suspend fun awaitToken(organisation: Organisation, queue: ArrayDeque<CompletableDeferred<Unit>>): Boolean {
        val token = CompletableDeferred<Unit>()
        queue += token
        rateLimiter.changeWaiting(organisation.id, 1)
        try {
            withTimeoutOrNull(QUOTA_WAIT_MILLIS) {
                while (!token.isCompleted) {
                    admitWaiting(organisation)
                    withTimeoutOrNull(RETRY_MILLIS) { token.await() }
                }
            }
        } finally {
            if (queue.remove(token)) rateLimiter.changeWaiting(organisation.id, -1)
        }
        return token.isCompleted
    }

    /** Admits waiting requests in order and requests tokens for the others. */
    private fun admitWaiting(organisation: Organisation) {
        val shares = shares() ?: return
        val queue = waiting[organisation.id] ?: return
        while (queue.isNotEmpty() && rateLimiter.admit(shares, organisation, context.clock.millis())) {
            rateLimiter.changeWaiting(organisation.id, -1)
            queue.removeFirst().complete(Unit)
        }
        requestTokens(shares, organisation)
    }

    private fun requestTokens(shares: QuotaShares, organisation: Organisation) {
        var outgoing = rateLimiter.nextTokenRequest(shares, organisation, context.clock.millis())
        while (outgoing != null) {
            send(outgoing)
            outgoing = rateLimiter.nextTokenRequest(shares, organisation, context.clock.millis())
        }
    }

    private fun send(outgoing: OutgoingTokenRequest) {
        messageCounter.increment()
        context.scope.launch {
            val grant = messenger.send(outgoing)
            rateLimiter.onTokenResponse(outgoing, grant, context.clock.millis())
            organisation(outgoing.request.organisation)?.let { admitWaiting(it) }
        }
    }

    private fun tick() {
        val now = context.clock.millis()
        rateLimiter.tick(now).forEach { send(it) }
        val shares = shares() ?: return
        rateLimiter.nextShareRequests(shares, organisations(), now).forEach { requestShares(it) }
        waiting.values.removeIf { it.isEmpty() }
    }

    private fun requestShares(outgoing: OutgoingShareRequest) {
        messageCounter.increment()
        context.scope.launch {
            val grant = messenger.send(outgoing) ?: return@launch
            val shares = shares() ?: return@launch
            rateLimiter.onShareGrant(shares, organisations(), outgoing, grant, context.clock.millis())
        }
    }

    private fun grantTokens(request: TokenRequest): TokenGrant? {
        val shares = shares()
        val organisation = organisation(request.organisation)
        if (shares == null || organisation == null || request.holder != context.incarnation) return null
        return rateLimiter.grant(shares, organisation, request, context.clock.millis())
    }

    private fun grantShares(request: ShareRequest): ShareGrant? =
        shares()?.let { rateLimiter.lendShares(it, organisations(), request, context.clock.millis()) }

    private fun refuse(organisation: Organisation): QuotaDecision {
        val isConfirmed = rateLimiter.isConfirmed(context.clock.millis())
        val reason = if (isConfirmed) RefusalReason.RATE_EXCEEDED else RefusalReason.QUOTA_UNCONFIRMED
        return QuotaDecision.Refused(reason, ceil(MILLIS_PER_SECOND / organisation.ratePerSecond).toLong())
    }

    private fun organisations(): List<Organisation> = configuration.current.value.catalogue?.organisations.orEmpty()

    private fun organisation(id: String): Organisation? = configuration.current.value.catalogue?.organisation(id)

    private fun shares(): QuotaShares? {
        val catalogue = configuration.current.value.catalogue ?: return null
        val cached = cachedShares
        if (cached != null && cached.first === catalogue) return cached.second
        return QuotaShares(catalogue).also { cachedShares = catalogue to it }
    }

    private companion object {
        const val QUOTA_WAIT_MILLIS = 250L
        const val RETRY_MILLIS = 20L
        const val TICK_MILLIS = 100L
        const val MILLIS_PER_SECOND = 1_000.0

        /** Exceeds the duration of a token lease and of a lent share. */
        const val LONGEST_SETTLEMENT_MILLIS = 5_000L
    }
}
