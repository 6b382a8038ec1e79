package org.poplarshift.operator.batch

import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.UncheckedIOException
import java.net.URLEncoder
import java.net.http.HttpRequest.BodyPublishers
import java.nio.file.Path
import java.util.stream.Stream

/** Submits batch jobs and reads their results through any node. */
@Command(name = "batch", description = ["Submits batch jobs and reads their results."])
class BatchCommand {
    @Spec
    private lateinit var spec: CommandSpec

    @Command(description = ["Submits a job. The same file under the same job id is the same job."])
    fun submit(
        @Mixin node: NodeOption,
        @Parameters(index = "0", paramLabel = "JOB-ID") jobId: String,
        @Parameters(index = "1", paramLabel = "FILE", description = ["JSON Lines with id and body."]) file: Path,
    ): Int {
        val problems = ItemFile(file).problems()
        if (problems.isNotEmpty()) {
            throw OperatorException(problems.joinToString("\npoplarshift: ") { it.describe() }, ExitCode.USAGE)
        }
        return print(node.send("POST", jobPath(jobId), BodyPublishers.ofFile(file)))
    }

    @Command(description = ["Shows the state of a job."])
    fun status(@Mixin node: NodeOption, @Parameters(paramLabel = "JOB-ID") jobId: String): Int =
        print(node.send("GET", jobPath(jobId), BodyPublishers.noBody()))

    @Command(description = ["Prints the results of a job as JSON Lines."])
    fun results(
        @Mixin node: NodeOption,
        @Parameters(paramLabel = "JOB-ID") jobId: String,
        @Option(names = ["--from"], defaultValue = "0", description = ["First result, counted from 0."]) from: Long,
        @Option(names = ["--limit"], description = ["Maximum number of results to print."]) limit: Long?,
        @Option(names = ["--follow"], description = ["Print results as they arrive, until the job ends."]) follow:
        Boolean,
    ): Int {
        val query = listOfNotNull("from=$from", limit?.let { "limit=$it" }, "follow=true".takeIf { follow })
        return print(node.send("GET", "${jobPath(jobId)}/results?${query.joinToString("&")}", BodyPublishers.noBody()))
    }

    @Command(description = ["Cancels a job. Existing results are kept."])
    fun cancel(@Mixin node: NodeOption, @Parameters(paramLabel = "JOB-ID") jobId: String): Int =
        print(node.send("DELETE", jobPath(jobId), BodyPublishers.noBody()))

    private fun jobPath(jobId: String) = "/v1/batches/${URLEncoder.encode(jobId, Charsets.UTF_8).replace("+", "%20")}"

    private fun print(lines: Stream<String>): Int {
        val out = spec.commandLine().out
        try {
            lines.forEach(out::println)
        } catch (exception: UncheckedIOException) {
            throw OperatorException(
                "the response ended early and is incomplete: ${exception.cause}",
                cause = exception,
            )
        }
        return ExitCode.DONE
    }
}
