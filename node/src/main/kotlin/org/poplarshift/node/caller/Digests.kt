package org.poplarshift.node.caller

import java.security.MessageDigest
import java.util.HexFormat

/** Computes SHA-256 digests over several strings. */
object Digests {
    /** Returns the hexadecimal digest of [parts]. Length prefixes keep different splits of a text distinct. */
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
