package org.poplarshift.core.configuration

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Looks up the entry of a caller's key by the key's hash. One instance is built for each version of the configuration.
 */
class KeyDirectory(keys: List<KeyEntry>) {
    private val entries = keys.associateBy { it.sha256 }

    /** Returns the entry of [key], or null if the key is unknown or was withdrawn. */
    fun find(key: String): KeyEntry? = entries[hash(key)]

    companion object {
        /** Returns the SHA-256 hash of [key] in hexadecimal digits. */
        fun hash(key: String): String =
            HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
    }
}
