package org.poplarshift.node.caller

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 over several parts. */
object Digests {
    /** The digest of [parts] in hexadecimal digits; the length of each part is included, so that parts can't shift. */
    fun sha256(vararg parts: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        for (part in parts) {
            val bytes = part.toByteArray()
            digest.update("${bytes.size}:".toByteArray())
            digest.update(bytes)
        }
        return HexFormat.of().formatHex(digest.digest())
    }
}
