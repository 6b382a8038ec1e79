package org.poplarshift.verification.soak

import org.poplarshift.standins.store.OperatorRecords
import org.poplarshift.standins.store.OrganisationRecord
import org.poplarshift.standins.store.RouteRecord

/** The configuration of the soak: its routes, organisations and keys. The operator changes keys while traffic runs. */
class SoakOrganisations {
    private var version = 0
    private var withdrawable = 0

    /** Time at which each withdrawn key was withdrawn, in monotonic milliseconds. */
    val withdrawnMillis = HashMap<String, Long>()

    /** The key of [FREE] that was given last. */
    val newestKey: String
        get() = key(withdrawable)

    /** The key of [FREE] that was withdrawn last, or null. */
    val previousKey: String?
        get() = if (withdrawable > 0) key(withdrawable - 1) else null

    /** Returns the next version of the configuration, in which bodies of requests have up to [maximumBodyBytes]. */
    fun nextConfiguration(maximumBodyBytes: Int = MAXIMUM_BODY_BYTES): String {
        version += VERSION_STEP
        return OperatorRecords.configuration(version, routes, organisations(), maximumBodyBytes)
    }

    /** Withdraws the newest key of [FREE] and gives another one. */
    fun replaceKey(nowMillis: Long) {
        withdrawnMillis[key(withdrawable)] = nowMillis
        withdrawable++
    }

    private fun key(number: Int) = "key-$number"

    private fun organisations() = listOf(
        OrganisationRecord(FREE, listOf(LASTING_KEY, newestKey)),
        OrganisationRecord(LIMITED, listOf(LIMITED_KEY), LIMITED_RATE, LIMITED_BURST),
    )

    companion object {
        const val HOST = "soak.example"
        const val PLAIN_SERVICE = "plain"
        const val ENGINE_SERVICE = "engine"
        const val BATCH_PREFIX = "/batch/"
        const val FREE = "free"
        const val LIMITED = "limited"
        const val LASTING_KEY = "key-lasting"
        const val LIMITED_KEY = "key-limited"
        const val LIMITED_RATE = 10.0
        const val LIMITED_BURST = 10.0
        const val MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

        /** Attempts of 500 after which an item may be given up. */
        const val MAXIMUM_ATTEMPTS = 3
        private const val VERSION_STEP = 3
        private val routes = CallKind.entries.map {
            RouteRecord(
                host = HOST,
                prefix = it.prefix,
                kind = if (it.isStream) "streaming" else it.name.lowercase(),
                service = if (it.isStream) ENGINE_SERVICE else PLAIN_SERVICE,
                isResumable = it.isStream && it.isIdempotent,
                maximumAttempts = MAXIMUM_ATTEMPTS,
            )
        } + RouteRecord(HOST, BATCH_PREFIX, "batch", ENGINE_SERVICE, isResumable = true)
    }
}
