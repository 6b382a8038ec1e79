package org.poplarshift.core.stream

import kotlinx.serialization.Serializable

/**
 * Where a stream began.
 *
 * The outputs of two software versions do not fit together, so a stream can only be resumed at workers of its origin.
 *
 * @property service the service whose worker has sent the first event
 * @property softwareVersion version of that worker's software
 */
@Serializable
data class StreamOrigin(val service: String, val softwareVersion: String)
