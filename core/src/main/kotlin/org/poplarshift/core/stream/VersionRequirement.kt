package org.poplarshift.core.stream

/** The software versions of the workers that may get a request. */
sealed interface VersionRequirement {
    /** Workers of all versions. */
    data object Any : VersionRequirement

    /** Workers of the versions that the log states, so that a node that restarts knows where streams may have begun. */
    data object Recorded : VersionRequirement

    /** Workers of [softwareVersion], because the response continues that of an earlier run. */
    data class Only(val softwareVersion: String) : VersionRequirement
}
