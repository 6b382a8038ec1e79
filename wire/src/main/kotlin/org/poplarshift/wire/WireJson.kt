package org.poplarshift.wire

import kotlinx.serialization.json.Json

/** The JSON codecs of all messages and records. */
object WireJson {
    /** Refuses unknown fields; for settings and the catalogue, where a misspelt field must not be passed over. */
    val strict =
        Json {
            encodeDefaults = true
            classDiscriminator = "type"
        }

    /** Passes over unknown fields; for messages and records, so that two releases can run side by side. */
    val lenient =
        Json(strict) {
            ignoreUnknownKeys = true
        }
}
