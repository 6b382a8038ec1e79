package org.poplarshift.node.settings

import com.networknt.schema.Error
import com.networknt.schema.InputFormat
import com.networknt.schema.Schema
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.SpecificationVersion
import kotlinx.serialization.SerializationException
import org.poplarshift.node.settings.SettingsResult.Invalid
import org.poplarshift.node.settings.SettingsResult.Valid
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads a settings file and validates it against `settings.schema.json`. */
class SettingsReader {
    /** Reads and validates [file]. */
    fun read(file: Path): SettingsResult {
        val text = try {
            file.readText()
        } catch (exception: IOException) {
            val found = "no readable file (${exception.javaClass.simpleName})"
            return Invalid(listOf(SettingsProblem("$file", "", found, "a JSON file")))
        }
        return parse("$file", text)
    }

    /** Validates [text], the content of [file]. */
    fun parse(file: String, text: String): SettingsResult {
        try {
            WireJson.strict.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            return Invalid(listOf(SettingsProblem(file, "", "${exception.message?.lines()?.first()}", "JSON")))
        }
        val problems = schema.validate(text, InputFormat.JSON).map { problem(file, it) }
        if (problems.isNotEmpty()) return Invalid(problems)
        val settings = WireJson.strict.decodeFromString(NodeSettings.serializer(), text)
        return Valid(settings)
    }

    private fun problem(file: String, error: Error): SettingsProblem {
        val parent = (0 until error.instanceLocation.nameCount).map { error.instanceLocation.getElement(it) }
        val isUnknown = error.keyword == "additionalProperties"
        val isMissing = error.keyword == "required"
        val path = parent + listOfNotNull(error.property.takeIf { isUnknown || isMissing })
        return SettingsProblem(
            file = file,
            path = path.joinToString("."),
            found = when {
                isUnknown -> "an unknown field"
                isMissing -> "no value"
                else -> "${error.instanceNode}"
            },
            expected = when {
                isUnknown -> "a field of settings.schema.json"
                isMissing -> "a value"
                else -> "${error.keyword} ${error.schemaNode}"
            },
        )
    }

    private companion object {
        val schema: Schema = SchemaRegistry
            .withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(checkNotNull(SettingsReader::class.java.getResourceAsStream("/settings.schema.json")))
    }
}
