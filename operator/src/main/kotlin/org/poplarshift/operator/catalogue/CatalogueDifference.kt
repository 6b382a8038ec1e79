package org.poplarshift.operator.catalogue

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.wire.WireJson

/**
 * Lists the fields in which two catalogues differ. Objects in lists are matched by `id` or `name`, plain values by
 * value, and other entries by index.
 */
class CatalogueDifference {
    /** Returns one line for each field that differs: `+` for added, `-` for removed, `~` for changed. */
    fun lines(before: Catalogue?, after: Catalogue): List<String> {
        val old = before?.let { flatten(it) }.orEmpty()
        val new = flatten(after)
        return (old.keys + new.keys).sorted().mapNotNull { path -> line(path, old[path], new[path]) }
    }

    private fun line(path: String, before: String?, after: String?): String? = when {
        before == after -> null
        before == null -> "+ $path: $after"
        after == null -> "- $path: $before"
        else -> "~ $path: $before -> $after"
    }

    private fun flatten(catalogue: Catalogue): Map<String, String> = buildMap {
        addPaths("", WireJson.strict.encodeToJsonElement(Catalogue.serializer(), catalogue))
    }

    private fun MutableMap<String, String>.addPaths(path: String, element: JsonElement) {
        when (element) {
            is JsonPrimitive -> put(path.removePrefix("."), "$element")
            is JsonObject -> element.forEach { (name, value) -> addPaths("$path.$name", value) }
            is JsonArray -> element.forEachIndexed { index, value -> addPaths("$path[${idOf(value) ?: index}]", value) }
        }
    }

    private fun idOf(element: JsonElement): String? {
        val entry = element as? JsonObject ?: return (element as? JsonPrimitive)?.contentOrNull
        return ((entry["id"] ?: entry["name"]) as? JsonPrimitive)?.contentOrNull
    }
}
