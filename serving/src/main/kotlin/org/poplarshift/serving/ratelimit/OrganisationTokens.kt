package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.allowance.TokenDemand
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock

/**
 * The tokens of one organisation at this node, and the requests that wait for one.
 *
 * Requests get tokens in the order of their arrival. While requests wait, one task asks the other holders. A node with
 * room of its own borrows what it lacks. A node without asks a holder to consume tokens for its requests.
 */
class OrganisationTokens(
    private var organisation: IngressOrganisation,
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val source: TokenSource,
    private val counters: RateLimitCounters,
) {
    private class Waiter {
        val decided = CompletableDeferred<Unit>()
        var isGranted = false

        fun decide(isGranted: Boolean) {
            this.isGranted = isGranted
            decided.complete(Unit)
        }
    }

    private val bucket = TokenBucketShare(
        organisation.ratePerSecond,
        organisation.burst,
        source.ownShare(organisation),
        clock.millis(),
    )
    private val levels = HolderLevels(source)
    private val waiters = ArrayDeque<Waiter>()
    private var isBorrowing = false
    private var nextRoundMillis = Long.MIN_VALUE / 2
    private var fruitlessRounds = 0

    /** Tokens that are available at this node. */
    val tokens: Double
        get() = bucket.tokens(clock.millis())

    /** Applies a changed limit, and the share that this node has now. */
    fun update(changed: IngressOrganisation = organisation) {
        organisation = changed
        bucket.update(changed.ratePerSecond, changed.burst, source.ownShare(changed), clock.millis())
    }

    /** Consumes a token and returns true if one is available here and no earlier request waits for it. */
    fun tryAcquire(): Boolean = waiters.isEmpty() && bucket.tryConsume(clock.millis())

    /** Consumes a token, and waits up to [waitMillis] until one can be borrowed. Returns whether there was one. */
    suspend fun acquire(waitMillis: Long): Boolean {
        if (tryAcquire()) return true
        val waiter = Waiter()
        waiters += waiter
        var isReturned = false
        try {
            startBorrowing()
            withTimeoutOrNull(waitMillis) { waiter.decided.await() }
            isReturned = true
            return waiter.isGranted
        } finally {
            waiters.remove(waiter)
            // The request was cancelled after it had got its token.
            if (!isReturned && waiter.isGranted) giveBack()
        }
    }

    /** Returns the token of a request that has not run. */
    fun giveBack() = bucket.giveBack(clock.millis())

    /**
     * Lends tokens to another coordinator for [demand] and consumes up to [requests] tokens for its waiting requests.
     *
     * Requests that wait here come first.
     */
    suspend fun lend(demand: TokenDemand, requests: Int): TokenGrant {
        val loan = if (waiters.isEmpty()) bucket.lend(demand, clock.millis()) else null
        var spent = 0
        if (requests > 0 && source.ownShare(organisation) > 0 && acquire(LENDER_WAIT_MILLIS)) spent++
        while (spent in 1 until requests && tryAcquire()) spent++
        return TokenGrant(loan, spent, tokens)
    }

    /**
     * Returns what this node asks each other holder for when it announces its capacity, or null if its share is almost full.
     *
     * A full share does not refill. Equal levels keep the refill of all shares in use.
     */
    fun balanceRequest(): BalanceRequest? {
        val now = clock.millis()
        val room = bucket.freeRoom(now)
        if (source.ownShare(organisation) <= 0 || room < MINIMUM_BALANCED_TOKENS) return null
        val holders = source.holders(organisation).size + 1
        return BalanceRequest(organisation.name, room / holders, bucket.tokens(now))
    }

    /** Lends tokens to a holder that has less than this node. */
    fun lendBalance(request: BalanceRequest): BalanceResponse {
        val demand = TokenDemand(request.wanted, held = request.held, room = request.wanted)
        val loan = if (waiters.isEmpty()) bucket.lend(demand, clock.millis()) else null
        return BalanceResponse(organisation.name, loan?.amount ?: 0.0, tokens)
    }

    /** Adds the tokens that [node] has lent for the request of [requestedMillis]. */
    fun onBalanced(node: String, response: BalanceResponse, requestedMillis: Long) {
        levels.onLevel(node, response.left, clock.millis())
        if (response.granted <= 0) return
        val loan = TokenLoan(response.granted, response.granted, holdMillis = 0.0, returnMillis = 0.0)
        bucket.deposit(loan, requestedMillis, clock.millis())
        serveWaiters()
    }

    /** Returns the time in milliseconds until all holders together probably have a token. */
    fun millisUntilToken(): Double {
        val now = clock.millis()
        val total = bucket.tokens(now) + levels.of(organisation, now).sumOf { it.tokens }
        return maxOf(0.0, 1.0 - total) / organisation.ratePerSecond * MILLIS_PER_SECOND
    }

    private fun startBorrowing() {
        if (isBorrowing) return
        isBorrowing = true
        tasks.launchOnce("token request", onFailed = { onFailed() }) {
            try {
                borrowWhileWaiting()
            } finally {
                isBorrowing = false
            }
        }
    }

    // The requests that wait are refused, and further ones wait before the holders are asked again.
    private fun onFailed() {
        onFruitlessRound()
        refuseWaiters()
    }

    private suspend fun borrowWhileWaiting() {
        while (true) {
            serveWaiters()
            if (waiters.isEmpty()) return
            val untilNextRound = nextRoundMillis - clock.millis()
            val pauseMillis = maxOf(millisUntilToken().toLong(), untilNextRound)
            if (pauseMillis > MAXIMUM_PAUSE_MILLIS) return refuseWaiters()
            if (pauseMillis > 0) delay(pauseMillis + 1) else borrow()
        }
    }

    private fun serveWaiters() {
        while (waiters.isNotEmpty() && bucket.tryConsume(clock.millis())) waiters.removeFirst().decide(true)
    }

    private fun refuseWaiters() {
        while (waiters.isNotEmpty()) waiters.removeFirst().decide(false)
    }

    private suspend fun borrow() {
        val now = clock.millis()
        val room = bucket.freeRoom(now)
        val received =
            if (room + bucket.tokens(now) >= 1.0) borrowLoans(room, now) else spendAtHolder(now)
        if (received) fruitlessRounds = 0 else onFruitlessRound()
    }

    private fun onFruitlessRound() {
        val pauseMillis = (MINIMUM_BACKOFF_MILLIS shl fruitlessRounds).coerceAtMost(MAXIMUM_BACKOFF_MILLIS)
        if (pauseMillis < MAXIMUM_BACKOFF_MILLIS) fruitlessRounds++
        nextRoundMillis = clock.millis() + pauseMillis
    }

    /** Borrows what the waiting requests lack and, where a holder has more than this node, half of the difference. */
    private suspend fun borrowLoans(room: Double, now: Long): Boolean {
        val held = bucket.tokens(now)
        var lacking = minOf(waiters.size - held, room)
        var roomLeft = room
        val parts = ArrayList<Pair<HolderLevel, TokenDemand>>()
        for (level in levels.of(organisation, now)) {
            if (lacking <= 0 || level.tokens <= 0) break
            val needed = minOf(level.tokens, lacking)
            val wanted = minOf(maxOf(needed, (level.tokens - held) / 2), roomLeft)
            lacking -= wanted
            roomLeft -= wanted
            parts += level to TokenDemand(wanted, needed, held, room = wanted)
        }
        val received = coroutineScope {
            parts.map { (level, demand) -> async { borrowLoan(level, demand) } }.awaitAll()
        }
        return received.sum() > 0 && bucket.tokens(clock.millis()) >= 1.0 - ROUNDING
    }

    private suspend fun borrowLoan(level: HolderLevel, demand: TokenDemand): Double {
        // The borrower counts a loan from here, which is before its lender counts it.
        val requestedMillis = clock.millis()
        val grant = request(level.holder, demand, requests = 0)
        val loan = grant?.loan ?: return 0.0
        bucket.deposit(loan, requestedMillis, clock.millis())
        return loan.amount
    }

    /** Asks the fullest holder to consume tokens for the waiting requests. */
    private suspend fun spendAtHolder(now: Long): Boolean {
        val level = levels.of(organisation, now).firstOrNull() ?: return false
        val grant = request(level.holder, TokenDemand(wanted = 0.0), waiters.size.coerceAtMost(MAXIMUM_SPENT))
            ?: return false
        // A token that arrives late would be used long after it was consumed.
        if (clock.millis() - now > MAXIMUM_RESPONSE_MILLIS) return false
        repeat(minOf(grant.spent, waiters.size)) { waiters.removeFirst().decide(true) }
        return grant.spent > 0
    }

    private suspend fun request(holder: TokenHolder, demand: TokenDemand, requests: Int): TokenGrant? {
        val grant = source.borrow(holder.node, organisation.name, demand, requests)
        counters.onBorrowed((grant?.loan?.amount ?: 0.0) + (grant?.spent ?: 0))
        levels.onLevel(holder.node, grant?.left ?: 0.0, clock.millis())
        return grant
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val ROUNDING = 1e-6

        // Each request is a part of a message that is sent anyway.
        const val MINIMUM_BALANCED_TOKENS = 0.5

        // A shortage of this time is not much longer than the delay of messages.
        const val MAXIMUM_PAUSE_MILLIS = 20L

        // A holder that has no token for another node's request may first borrow from other holders.
        const val LENDER_WAIT_MILLIS = 20L

        // Bounds the tokens that are lost with one response.
        const val MAXIMUM_SPENT = 8
        const val MAXIMUM_RESPONSE_MILLIS = 60L

        // If the holders have less than this node believes, further requests only cost messages.
        const val MINIMUM_BACKOFF_MILLIS = 10L
        const val MAXIMUM_BACKOFF_MILLIS = 160L
    }
}
