package org.poplarshift.serving.quarantine

import io.vertx.core.buffer.Buffer
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies a request that is sent again under another id, by its organisation, path and body. */
object RequestFingerprint {
    /** Returns the fingerprint as a hexadecimal string. */
    fun of(organisation: String?, path: String, body: Buffer): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(organisation.orEmpty().encodeToByteArray())
        digest.update(SEPARATOR)
        digest.update(path.encodeToByteArray())
        digest.update(SEPARATOR)
        digest.update(body.bytes)
        return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES)
    }

    private const val SEPARATOR: Byte = 0

    // With a few million requests per day, the probability of a collision in 128 bits is below 1e-25.
    private const val FINGERPRINT_BYTES = 16
}
