package org.poplarshift.core.quarantine

/** The quarantine status of a request, identified by its fingerprint. */
sealed interface SuspectStatus {
    /** The request has no strikes: no worker has crashed while running it, or it has completed since. */
    data object Clear : SuspectStatus

    /**
     * The request has fewer strikes than the limit. Where workers can be held for suspects, it runs only on a worker
     * that is held for it alone.
     *
     * @property workers the workers that crashed while running the request; it is not sent to them again
     */
    data class Suspect(val workers: Set<String>) : SuspectStatus

    /** At least as many distinct workers as the strike limit have crashed while running the request. It is refused. */
    data object Quarantined : SuspectStatus
}
