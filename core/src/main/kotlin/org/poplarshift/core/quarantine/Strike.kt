package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * The fact that a worker died while it ran a request.
 *
 * @property fingerprint SHA-256 of the request's organisation and canonical body, in hexadecimal digits
 */
@Serializable
data class Strike(val fingerprint: String, val worker: String)
