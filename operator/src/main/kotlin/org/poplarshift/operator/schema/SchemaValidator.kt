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

/** Validates JSON files against one of the schemas in `docs/`, such as `catalogue.schema.json`. */
class SchemaValidator(private val schemaName: String) {
    private val schema = SchemaRegistry
        .withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
        .getSchema(checkNotNull(javaClass.getResourceAsStream("/$schemaName")))

    /** Returns all schema violations in [text], the content of [file], or only the syntax error if it is not JSON. */
    fun problems(file: String, text: String): List<FileProblem> {
        try {
            WireJson.strict.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            return listOf(FileProblem(file, "", exception.message.orEmpty().lines().first(), "JSON"))
        }
        return schema.validate(text, InputFormat.JSON).map { problem(file, it) }
    }

    /**
     * Returns the content of [file].
     *
     * @throws OperatorException if the file cannot be read or is not valid; the message lists every problem
     */
    fun requireValid(file: Path): String {
        val text = try {
            file.readText()
        } catch (exception: IOException) {
            throw OperatorException("cannot read $file: ${exception.message}", ExitCode.USAGE, exception)
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
 * A problem in a file.
 *
 * @property path path of the field, such as `upstreams[0].workers[2].zone`; empty if the whole file is affected
 */
data class FileProblem(val file: String, val path: String, val found: String, val expected: String) {
    /** Returns a one-line message for the user. */
    fun describe(): String = "${if (path.isEmpty()) file else "$file: $path"}: found $found, expected $expected"
}

/** Throws an [OperatorException] with one line for each of [problems], unless there are none. */
fun requireNoProblems(problems: List<FileProblem>) {
    if (problems.isEmpty()) return
    throw OperatorException(problems.joinToString("\npoplarshift: ") { it.describe() }, ExitCode.USAGE)
}
