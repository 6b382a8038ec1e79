package org.poplarshift.operator.load

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.wire.WireJson
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Runs a load plan and reports latency and throughput by organisation. */
@Command(
    name = "load",
    description = ["Runs a load plan and reports latency and throughput by organisation."],
)
class LoadCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(paramLabel = "PLAN", description = ["JSON file with the load plan."])
    private lateinit var planFile: Path

    @Option(names = ["--json"], paramLabel = "FILE", description = ["Write the report as JSON to FILE."])
    private var jsonFile: Path? = null

    override fun call(): Int {
        val plan = readPlan()
        val keys = plan.streams.associate { it.organisation to readFile(planFile.resolveSibling(it.keyFile)).trim() }
        val report = run(LoadRunner(plan, keys))
        spec.commandLine().out.println(report.text())
        jsonFile?.writeText(PRETTY.encodeToString(LoadReport.serializer(), report) + "\n")
        return ExitCode.DONE
    }

    private fun run(runner: LoadRunner): LoadReport = runBlocking {
        val progressJob = if (System.console() == null) null else launch { showProgress(runner) }
        try {
            runner.run()
        } finally {
            progressJob?.cancel()
        }
    }

    private suspend fun showProgress(runner: LoadRunner) {
        while (true) {
            delay(PROGRESS_MILLIS)
            val progress = runner.results.values.map { it.progress() }
            val sent = progress.sumOf { it.sent }
            val completed = progress.sumOf { it.completed }
            System.err.print("\rsent $sent, completed $completed, failed ${progress.sumOf { it.failed }} ")
        }
    }

    private fun readPlan(): LoadPlan = try {
        WireJson.strict.decodeFromString(LoadPlan.serializer(), readFile(planFile))
    } catch (exception: SerializationException) {
        throw OperatorException("$planFile is not a valid load plan: ${exception.message}", ExitCode.USAGE, exception)
    }

    private fun readFile(file: Path): String = try {
        file.readText()
    } catch (exception: IOException) {
        throw OperatorException("cannot read $file: ${exception.message}", ExitCode.USAGE, exception)
    }

    private companion object {
        const val PROGRESS_MILLIS = 1_000L
        val PRETTY = Json(WireJson.strict) { prettyPrint = true }
    }
}
