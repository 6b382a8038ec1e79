package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin

/** The software versions of the workers in the registry. */
interface RegisteredVersions {
    /** The versions of all registered workers, including those that are draining. */
    val origins: Set<StreamOrigin>

    /** Time at which the read was sent that [origins] are from, in monotonic milliseconds. */
    val asOfMillis: Long
}
