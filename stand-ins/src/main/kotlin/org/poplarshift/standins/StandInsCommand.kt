package org.poplarshift.standins

import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.standins.federation.FederationDescription
import org.poplarshift.standins.federation.FederationStandIn
import org.poplarshift.standins.link.LinkSettings
import org.poplarshift.standins.link.LinkStandIn
import org.poplarshift.standins.platform.PlatformSettings
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.standins.service.ServiceSettings
import org.poplarshift.standins.service.ServiceStandIn
import org.poplarshift.wire.WireJson
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.File
import java.io.IOException

/** The stand-ins command line. Each subcommand starts one or more servers and prints the name and port of each. */
@Command(
    name = "poplarshift-stand-ins",
    description = ["Simulates the platform, the model engines and the plain services of a federation."],
    mixinStandardHelpOptions = true,
    version = ["poplarshift-stand-ins 0.1.0"],
)
internal class StandInsCommand {
    @Spec
    private lateinit var spec: CommandSpec

    private val vertx by lazy { Vertx.vertx() }

    @Command(description = ["Starts the platform: log service, VM list and weight store."])
    fun platform(
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--settings"], description = ["JSON file with PlatformSettings."]) file: File?,
    ) {
        val settings = file?.let { decode(it, PlatformSettings.serializer()) } ?: PlatformSettings()
        startAll(PlatformStandIn(vertx, if (port == 0) settings else settings.copy(port = port)))
    }

    @Command(description = ["Starts a model engine."])
    fun engine(
        @Option(names = ["--worker"], defaultValue = "engine-1") worker: String,
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--settings"], description = ["JSON file with EngineSettings."]) file: File?,
    ) {
        val settings = file?.let { decode(it, EngineSettings.serializer()) } ?: EngineSettings(worker)
        startAll(EngineStandIn(vertx, if (port == 0) settings else settings.copy(port = port)))
    }

    @Command(description = ["Starts a plain service."])
    fun service(
        @Option(names = ["--worker"], defaultValue = "service-1") worker: String,
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--settings"], description = ["JSON file with ServiceSettings."]) file: File?,
    ) {
        val settings = file?.let { decode(it, ServiceSettings.serializer()) } ?: ServiceSettings(worker)
        startAll(ServiceStandIn(vertx, if (port == 0) settings else settings.copy(port = port)))
    }

    @Command(description = ["Starts a link: a TCP relay that can delay traffic, drop bytes and close connections."])
    fun link(
        @Option(names = ["--settings"], required = true, description = ["JSON file with LinkSettings."]) file: File,
    ) = startAll(LinkStandIn(vertx, decode(file, LinkSettings.serializer())))

    @Command(description = ["Starts all stand-ins of a federation description."])
    fun federation(
        @Parameters(paramLabel = "FILE", description = ["JSON file with a FederationDescription."]) file: File,
    ) {
        startAll(*FederationStandIn(vertx, decode(file, FederationDescription.serializer())).standIns.toTypedArray())
    }

    private fun startAll(vararg standIns: StandIn) = runBlocking {
        standIns.forEach {
            it.start()
            println("stand-ins: ${it.name} listens on port ${it.port}")
        }
    }

    private fun <T> decode(file: File, serializer: KSerializer<T>): T = try {
        WireJson.strict.decodeFromString(serializer, file.readText())
    } catch (exception: SerializationException) {
        throw ParameterException(spec.commandLine(), "invalid content in $file: ${exception.message}", exception)
    } catch (exception: IOException) {
        throw ParameterException(spec.commandLine(), "cannot read $file: ${exception.message}", exception)
    }
}
