package org.poplarshift.operator.catalogue

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.CatalogueValidator
import org.poplarshift.operator.schema.FileProblem
import org.poplarshift.operator.schema.SchemaValidator
import org.poplarshift.operator.schema.requireNoProblems
import org.poplarshift.wire.WireJson
import java.nio.file.Path

/** A file with a catalogue in JSON. */
class CatalogueFile(private val path: Path) {
    /**
     * Reads and validates the catalogue.
     *
     * @throws org.poplarshift.operator.OperatorException if the file is not valid; the message lists every problem
     */
    fun read(): Catalogue {
        val text = SchemaValidator("catalogue.schema.json").requireValid(path)
        val catalogue = WireJson.strict.decodeFromString(Catalogue.serializer(), text)
        requireNoProblems(
            CatalogueValidator().validate(catalogue).map {
                FileProblem("$path", it.path, it.found, it.expected)
            },
        )
        return catalogue
    }
}
