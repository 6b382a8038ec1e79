package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import java.net.URLDecoder

/**
 * Removes callers' keys from requests before they are sent to an upstream.
 *
 * @param presented the keys in the key headers of the request; any other text in the format of a key is also removed
 */
class KeyScrubber(presented: List<String>) {
    private val presented = presented.filter { it.isNotEmpty() }

    /** Whether [text] contains a key, either as is or after percent decoding. */
    fun containsKey(text: String): Boolean = matches(text) || ('%' in text && matches(decode(text)))

    /** Whether [text] contains one of the presented keys. */
    fun containsPresentedKey(text: String): Boolean = presented.any { it in text }

    /** Returns [headers] without the key headers, other headers that contain a key, and cookies that contain a key. */
    fun scrub(headers: MultiMap): MultiMap {
        val scrubbed = MultiMap.caseInsensitiveMultiMap()
        for ((name, value) in headers) {
            if (name.lowercase() in KEY_HEADERS) continue
            val remaining = if (name.equals("Cookie", ignoreCase = true)) scrubCookies(value) else value
            if (remaining.isNotEmpty() && !containsKey(remaining) && !containsKey(name)) scrubbed.add(name, remaining)
        }
        return scrubbed
    }

    /** Returns [query] without the parameters that contain a key, or null if none remain. */
    fun scrubQuery(query: String?): String? =
        query?.split('&')?.filterNot { containsKey(it) }?.joinToString("&")?.ifEmpty { null }

    private fun scrubCookies(value: String): String =
        value.split(';').map { it.trim() }.filterNot { containsKey(it) }.joinToString("; ")

    private fun matches(text: String): Boolean = KEY.containsMatchIn(text) || containsPresentedKey(text)

    private fun decode(text: String): String = try {
        URLDecoder.decode(text, Charsets.UTF_8)
    } catch (_: IllegalArgumentException) {
        text
    }

    private companion object {
        /** `psk_` and 32 bytes in base64url without padding. */
        val KEY = Regex("psk_[A-Za-z0-9_-]{43}")
        val KEY_HEADERS = setOf("authorization", "x-api-key", "proxy-authorization")
    }
}
