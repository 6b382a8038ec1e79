package org.poplarshift.serving.quarantine

import io.vertx.core.buffer.Buffer
import java.security.MessageDigest
import java.util.HexFormat

/** Recognises a request that comes again under another id, by its organisation, its path and its body. */
object RequestFingerprint {
    /** The fingerprint in hexadecimal digits. */
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

    // Two of a day's few million requests share 128 bits with a probability below 1e-25.
    private const val FINGERPRINT_BYTES = 16
}
