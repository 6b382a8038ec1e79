package org.poplarshift.verification.soak

import kotlinx.coroutines.runBlocking
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** The command `soak`. Its exit code is 1 if a promise was broken. */
@Command(
    name = "soak",
    description = ["Runs nodes as processes, injects faults and checks what callers and workers see."],
    mixinStandardHelpOptions = true,
)
class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], description = ["Seed of the faults; default: 1."], defaultValue = "1")
    private var seed = 1L

    @Option(names = ["--minutes"], description = ["Minutes for which faults are injected."], defaultValue = "1")
    private var minutes = 1.0

    @Option(names = ["--nodes"], description = ["Number of nodes."], defaultValue = "5")
    private var nodes = 5

    @Option(
        names = ["--second-responses"],
        description = ["Share of the requests that workers answer twice; default: 0."],
        defaultValue = "0",
    )
    private var secondResponses = 0.0

    @Option(names = ["--processors"], description = ["Number of processors that each node uses; default: all."])
    private var processors: Int? = null

    @Option(names = ["--program"], description = ["Program of a node."])
    private var program = File("target/poplarshift-node/poplarshift-node.jar")

    @Option(names = ["--output"], description = ["Directory of the reports."])
    private var output = File("target/soak")

    override fun call(): Int {
        val settings = SoakSettings(
            seed = seed,
            seconds = (minutes * SECONDS_PER_MINUTE).toInt(),
            nodes = nodes,
            directory = File(output, "seed-$seed"),
            program = program,
            secondResponses = secondResponses,
            processors = processors,
        )
        val report = runBlocking { Soak(settings).run() }
        println(report)
        return if (report.violations.isEmpty()) 0 else 1
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60
    }
}

/** Runs the command `soak`. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(SoakCommand()).execute(*arguments))
}
