package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decodes messages of other nodes, which may run a different release. */
object PeerMessages {
    private val logger = KotlinLogging.logger {}

    // A node of a later release may state more.
    private val json = Json { ignoreUnknownKeys = true }

    /** Decodes [text] and ignores unknown fields. If that fails, logs a warning with the prefix [component] and returns null. */
    fun <T> decode(serializer: KSerializer<T>, text: String, component: String): T? = try {
        json.decodeFromString(serializer, text)
    } catch (exception: SerializationException) {
        logger.warn { "$component: message of another node can't be decoded: ${exception.message}" }
        null
    }
}
