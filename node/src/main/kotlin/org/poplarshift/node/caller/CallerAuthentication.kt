package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.caller.AuthenticationResult.Authenticated
import org.poplarshift.node.caller.AuthenticationResult.Refused
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.settings.ConfigurationSettings

/** Finds the organisation of a request by its key. */
class CallerAuthentication(private val store: ConfigurationStore, private val settings: ConfigurationSettings) {
    /** Authenticates a request with [headers]. */
    fun authenticate(headers: MultiMap): AuthenticationResult {
        val catalogue = store.current.value.catalogue
        if (catalogue == null || isStale()) return refused(RefusalReason.NO_CONFIGURATION, "no current configuration")
        val key = PresentedKeys.read(headers).firstOrNull()
            ?: return refused(RefusalReason.UNKNOWN_KEY, "the request carries no key")
        val entry = store.findKey(key) ?: return refused(RefusalReason.UNKNOWN_KEY, "the key is unknown or withdrawn")
        val organisation = catalogue.organisation(entry.organisation)
            ?: return refused(RefusalReason.UNKNOWN_KEY, "the key's organisation is not in the catalogue")
        return Authenticated(entry, organisation)
    }

    private fun isStale(): Boolean {
        if (settings.staleLimitSeconds == 0L) return false
        val age = store.ageMillis ?: return true
        return age > settings.staleLimitSeconds * MILLIS_PER_SECOND
    }

    private fun refused(reason: RefusalReason, message: String) =
        Refused(ErrorResponse(reason, message, RunStatus.NOT_RUN))

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
