package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.poplarshift.platform.PlatformSettings
import sun.misc.Signal
import java.nio.file.Path

/**
 * Reads the settings file again on SIGHUP, which would otherwise end the JVM.
 *
 * Nothing is interrupted. The times for which results are kept and for which a shutdown may take are applied at once, all
 * other changes at the next start. A file that is not valid changes nothing.
 */
class SettingsReload(
    private val file: Path,
    private var current: PlatformSettings,
    private val apply: (PlatformSettings) -> Unit,
) {
    /** Reads the settings from now on whenever the process gets SIGHUP. */
    fun listen() {
        Signal.handle(Signal("HUP")) { reload() }
    }

    /** Reads the settings file, applies what can be changed and logs the names of the changed settings. */
    @Synchronized
    fun reload() {
        val settings = PlatformSettings.read(file).getOrElse {
            logger.warn { "settings: not read again, the previous ones stay in force: ${it.message}" }
            return
        }
        val changed = changedNames(encode(current), encode(settings))
        current = settings
        apply(settings)
        logger.atInfo {
            message = "settings: read again"
            payload = mapOf(
                "changed" to (changed intersect APPLIED_AT_ONCE).joinToString(","),
                "changed_at_next_start" to (changed - APPLIED_AT_ONCE).joinToString(","),
            )
        }
    }

    private fun encode(settings: PlatformSettings): JsonElement =
        Json.encodeToJsonElement(PlatformSettings.serializer(), settings)

    private fun changedNames(before: JsonElement?, after: JsonElement, name: String = ""): Set<String> = when {
        before == after -> emptySet()
        after is JsonObject && before is JsonObject ->
            after.flatMap { (key, value) ->
                changedNames(before[key], value, if (name.isEmpty()) key else "$name.$key")
            }
                .toSet()

        else -> setOf(name)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val APPLIED_AT_ONCE = setOf("retentionSeconds", "shutdownSeconds")
    }
}
