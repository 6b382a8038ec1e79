package org.poplarshift.operator.schema

import com.networknt.schema.Error
import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.SpecificationVersion
import kotlinx.serialization.SerializationException
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Checks JSON files against one of the schemas in `docs/`, such as `catalogue.schema.json`. */
class SchemaValidator(private val schemaName: String) {
    private val schema = SchemaRegistry
        .withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
        .getSchema(checkNotNull(javaClass.getResourceAsStream("/$schemaName")))

    /** Returns every problem of [text], the content of [file]. */
    fun problems(file: String, text: String): List<FileProblem> {
        try {
            WireJson.strict.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            return listOf(FileProblem(file, "", exception.message.orEmpty().lines().first(), "JSON"))
        }
        return schema.validate(text, InputFormat.JSON).map { problem(file, it) }
    }

    /** Returns the text of [file]; every problem with it is in the message of the exception. */
    fun requireValid(file: Path): String {
        val text = try {
            file.readText()
        } catch (exception: IOException) {
            throw OperatorException("$file can't be read: ${exception.message}", ExitCode.USAGE, exception)
        }
        requireNoProblems(problems("$file", text))
        return text
    }

    private fun problem(file: String, error: Error): FileProblem {
        val location = error.instanceLocation
        val elements = (0 until location.nameCount).map { location.getElement(it) }
        val isUnknown = error.keyword == "additionalProperties"
        val isMissing = error.keyword == "required"
        val path = elements.fold("") { path, element -> if (element is Int) "$path[$element]" else "$path.$element" }
        val property = if (isUnknown || isMissing) ".${error.property}" else ""
        return FileProblem(
            file = file,
            path = (path + property).removePrefix("."),
            found = if (isUnknown) {
                "an unknown field"
            } else if (isMissing) {
                "no value"
            } else {
                "${error.instanceNode}"
            },
            expected = if (isUnknown) {
                "a field of $schemaName"
            } else if (isMissing) {
                "a value"
            } else {
                violatedRule(error)
            },
        )
    }

    private fun violatedRule(error: Error) = "${error.keyword} ${error.schemaNode}"
}

/**
 * One fault in a file.
 *
 * @property path the field, such as `upstreams[0].workers[2].zone`; empty for the file as a whole
 */
data class FileProblem(val file: String, val path: String, val found: String, val expected: String) {
    /** One line for a person. */
    fun describe(): String = "${if (path.isEmpty()) file else "$file: $path"}: found $found, expected $expected"
}

/** Ends the command with one line for each of [problems], if there is one. */
fun requireNoProblems(problems: List<FileProblem>) {
    if (problems.isEmpty()) return
    throw OperatorException(problems.joinToString("\npoplarshift: ") { it.describe() }, ExitCode.USAGE)
}
