package org.poplarshift.operator.catalogue

import kotlinx.serialization.json.Json
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationResult
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.operator.PlatformOption
import org.poplarshift.operator.schema.SchemaValidator
import org.poplarshift.wire.WireJson
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Validates, compares and publishes catalogues. */
@Command(
    name = "catalogue",
    description = ["Validates, compares and publishes catalogues."],
)
class CatalogueCommand {
    @Spec
    private lateinit var spec: CommandSpec

    private val out get() = spec.commandLine().out

    @Command(description = ["Validates a catalogue file and node settings files without access to the platform."])
    fun check(
        @Option(names = ["--settings"], paramLabel = "FILE", description = ["Node settings file; may be repeated."])
        settings: List<Path>?,
        @Parameters(paramLabel = "FILE", arity = "0..1", description = ["The catalogue file."]) file: Path?,
    ): Int {
        val files = settings.orEmpty() + listOfNotNull(file)
        if (files.isEmpty()) throw OperatorException("a catalogue file or --settings is required", ExitCode.USAGE)
        val schema = SchemaValidator("settings.schema.json")
        settings.orEmpty().forEach { schema.requireValid(it) }
        file?.let { CatalogueFile(it).read() }
        files.forEach { out.println("$it is valid") }
        return ExitCode.DONE
    }

    @Command(description = ["Prints the current catalogue, and its version to standard error."])
    fun show(@Mixin platform: PlatformOption): Int {
        val configuration = platform.withConfiguration { it.read() }
        val catalogue = configuration.catalogue ?: throw OperatorException("no catalogue has been published yet")
        out.println(PRETTY.encodeToString(Catalogue.serializer(), catalogue))
        spec.commandLine().err.println("version ${configuration.catalogueVersion}")
        return ExitCode.DONE
    }

    @Command(description = ["Shows the current catalogue version and how a file differs from it."])
    fun diff(@Mixin platform: PlatformOption, @Parameters(paramLabel = "FILE") file: Path): Int {
        val catalogue = CatalogueFile(file).read()
        val configuration = platform.withConfiguration { it.read() }
        out.println("version in force: ${configuration.catalogueVersion}")
        CatalogueDifference().lines(configuration.catalogue, catalogue).forEach(out::println)
        return ExitCode.DONE
    }

    @Command(description = ["Publishes a catalogue file unless another version has been published in the meantime."])
    fun publish(
        @Mixin platform: PlatformOption,
        @Option(
            names = ["--based-on"],
            required = true,
            paramLabel = "VERSION",
            description = ["Version on which the file is based, as printed by diff and show; -1 for the first one."],
        ) basedOn: Long,
        @Parameters(paramLabel = "FILE") file: Path,
    ): Int {
        val catalogue = CatalogueFile(file).read()
        val record = ConfigurationRecord.CataloguePublished(basedOn, catalogue)
        return report(file, basedOn, platform.withConfiguration { it.append(record) })
    }

    private fun report(file: Path, basedOn: Long, result: ConfigurationResult): Int = when (result) {
        is ConfigurationResult.Applied -> {
            out.println("published as version ${result.configuration.catalogueVersion}")
            ExitCode.DONE
        }

        is ConfigurationResult.Superseded -> throw OperatorException(
            "another operator published version ${result.inForce} after version $basedOn; nothing was published and " +
                "$file is unchanged. Compare with `poplarshift catalogue diff`, then publish with " +
                "--based-on ${result.inForce}",
            ExitCode.SUPERSEDED,
        )

        is ConfigurationResult.Invalid -> throw OperatorException(
            result.problems.joinToString("\npoplarshift: ") {
                "$file: ${it.path}: found ${it.found}, expected ${it.expected}"
            },
            ExitCode.USAGE,
        )

        is ConfigurationResult.KeyRefused, ConfigurationResult.AlreadyApplied ->
            throw OperatorException("the catalogue was not applied: $result")
    }

    private companion object {
        val PRETTY = Json(WireJson.strict) { prettyPrint = true }
    }
}
