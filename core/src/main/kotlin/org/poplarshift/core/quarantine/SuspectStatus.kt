package org.poplarshift.core.quarantine

/** What is known about a request's fingerprint. */
sealed interface SuspectStatus {
    /** No worker has died with it, or it has completed since. */
    data object Clear : SuspectStatus

    /** A worker has died with it; it runs only alone on a worker, and on none of [workers]. */
    data class Suspect(val workers: Set<String>) : SuspectStatus

    /** Two distinct workers have died with it; it is refused. */
    data object Quarantined : SuspectStatus
}
