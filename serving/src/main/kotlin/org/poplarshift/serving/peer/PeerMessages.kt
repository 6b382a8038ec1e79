package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads messages of other nodes, which may be of another release. */
object PeerMessages {
    private val logger = KotlinLogging.logger {}

    /** The message in [text], or null when it can't be read; [component] names the part of the node in the log line. */
    fun <T> decode(serializer: KSerializer<T>, text: String, component: String): T? = try {
        Json.decodeFromString(serializer, text)
    } catch (exception: SerializationException) {
        logger.warn { "$component: a message between nodes can't be read: ${exception.message}" }
        null
    }
}
