package org.poplarshift.wire

import kotlinx.serialization.json.Json

/** JSON codecs of all messages and records. */
object WireJson {
    /** Rejects unknown fields. For settings and the catalogue, where a misspelt field must not be ignored. */
    val strict =
        Json {
            encodeDefaults = true
            classDiscriminator = "type"
        }

    /** Ignores unknown fields. For messages and records, so that two releases can run side by side. */
    val lenient =
        Json(strict) {
            ignoreUnknownKeys = true
        }
}
