package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * Records that a worker crashed while it ran a request.
 *
 * @property fingerprint the SHA-256 hash of the request's organisation and canonical body, in hexadecimal digits
 */
@Serializable
data class Strike(val fingerprint: String, val worker: String)
