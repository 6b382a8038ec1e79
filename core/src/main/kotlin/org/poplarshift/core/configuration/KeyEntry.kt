package org.poplarshift.core.configuration

import kotlinx.serialization.Serializable

/**
 * A key that was issued to an organisation.
 *
 * @property sha256 the SHA-256 hash of the key in hexadecimal digits; the key itself is never stored
 */
@Serializable
data class KeyEntry(val keyId: String, val organisation: String, val sha256: String)
