package org.poplarshift.operator.batch

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.poplarshift.operator.schema.FileProblem
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readLines

/** A JSON Lines file with the items of a batch job. */
class ItemFile(private val file: Path) {
    /** Returns the lines that every node would reject, because a large upload could otherwise fail at its end. */
    fun problems(): List<FileProblem> {
        val lines = try {
            file.readLines()
        } catch (exception: IOException) {
            return listOf(FileProblem("$file", "", "an unreadable file (${exception.message})", "JSON Lines"))
        }
        val seenIds = mutableSetOf<String>()
        return lines.withIndex()
            .filter { it.value.isNotBlank() }
            .mapNotNull { (index, line) -> problem(line, "line ${index + 1}", seenIds) }
    }

    private fun problem(line: String, location: String, seenIds: MutableSet<String>): FileProblem? {
        val item = try {
            WireJson.lenient.parseToJsonElement(line) as? JsonObject
        } catch (_: SerializationException) {
            null
        } ?: return FileProblem("$file", location, "no JSON object", "an object with id and body")
        val id = (item["id"] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull
        return when {
            id.isNullOrEmpty() -> FileProblem("$file", "$location.id", "${item["id"]}", "a text")
            !seenIds.add(id) -> FileProblem("$file", "$location.id", "$id twice", "unique ids")
            item["body"] !is JsonObject -> FileProblem("$file", "$location.body", "${item["body"]}", "an object")
            else -> null
        }
    }
}
