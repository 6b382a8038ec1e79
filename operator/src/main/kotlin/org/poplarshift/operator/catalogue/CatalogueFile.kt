package org.poplarshift.operator.catalogue

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.CatalogueValidator
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.operator.schema.FileProblem
import org.poplarshift.operator.schema.SchemaCheck
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** A catalogue in a file. */
class CatalogueFile(private val path: Path) {
    /** Reads the catalogue; every problem with it is in the message of the exception. */
    fun read(): Catalogue {
        val text = try {
            path.readText()
        } catch (exception: IOException) {
            throw OperatorException("$path can't be read: ${exception.message}", ExitCode.USAGE, exception)
        }
        fail(SchemaCheck("catalogue.schema.json").problems("$path", text))
        val catalogue = WireJson.strict.decodeFromString(Catalogue.serializer(), text)
        fail(CatalogueValidator().validate(catalogue).map { FileProblem("$path", it.path, it.found, it.expected) })
        return catalogue
    }

    private fun fail(problems: List<FileProblem>) {
        if (problems.isEmpty()) return
        throw OperatorException(problems.joinToString("\npoplarshift: ") { it.describe() }, ExitCode.USAGE)
    }
}
