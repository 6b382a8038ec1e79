package org.poplarshift.operator.status

import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.RouteExplanation
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.net.URLEncoder
import java.util.concurrent.Callable

/** Asks a running node where a request would go now and why, without sending it. */
@Command(
    name = "explain-route",
    description = ["Shows which worker the scheduler of a zone would choose for a request now, and why."],
)
class ExplainRouteCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--node"], paramLabel = "IP:PORT", required = true, description = ["Metrics address of a node."])
    private lateinit var node: String

    @Option(names = ["--service"], required = true, description = ["Service that the request is for."])
    private lateinit var service: String

    @Option(names = ["--route"], description = ["Name of the route, by which lengths are learned."])
    private var route: String? = null

    @Option(names = ["--prompt-tokens"], description = ["Tokens of the prompt."])
    private var promptTokens: Int? = null

    @Option(names = ["--maximum-output"], description = ["Maximum tokens of the output."])
    private var maximumOutput: Int? = null

    @Option(names = ["--expected-output"], description = ["Expected tokens of the output."])
    private var expectedOutput: Int? = null

    @Option(names = ["--part"], paramLabel = "ID:TOKENS", description = ["Part of the prompt; may be repeated."])
    private var parts: List<String> = emptyList()

    @Option(names = ["--batch"], description = ["The request is a batch item."])
    private var isBatch = false

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var isJson = false

    override fun call(): Int {
        val explanation = when (val result = NodeClient().explanation(node, query())) {
            is NodeResult.Failure -> throw OperatorException("$node: no explanation (${result.reason})")
            is NodeResult.Success -> result.value
        }
        val out = spec.commandLine().out
        if (isJson) {
            out.println(Json.encodeToString(RouteExplanation.serializer(), explanation))
        } else {
            lines(explanation).forEach { out.println(it) }
        }
        return if (explanation.candidates.isEmpty()) ExitCode.FAILED else ExitCode.DONE
    }

    private fun query(): String {
        val values = listOf(
            "service" to service,
            "route" to route,
            "prompt" to promptTokens,
            "maximum" to maximumOutput,
            "expected" to expectedOutput,
            "batch" to isBatch,
        ) + parts.map { "part" to it }
        return values.filter { it.second != null }
            .joinToString("&") { (name, value) -> "$name=${URLEncoder.encode(value.toString(), Charsets.UTF_8)}" }
    }

    private fun lines(explanation: RouteExplanation): List<String> {
        if (explanation.candidates.isEmpty()) return listOf(withoutCandidates(explanation))
        val choice = explanation.worker?.let { "goes to $it" } ?: "waits for a slot"
        val header = "${explanation.service}: the request $choice; its work is ${explanation.workMillis} ms"
        return listOf(header) + explanation.candidates.sortedBy { it.runMillis + it.delayMillis }.map { line(it) }
    }

    private fun withoutCandidates(explanation: RouteExplanation): String = when (explanation.scheduler) {
        null -> "${explanation.node} reaches no scheduler of ${explanation.service}"
        explanation.node -> "the scheduler at ${explanation.node} has no worker of ${explanation.service}"
        else -> "ask ${explanation.scheduler}, which runs the scheduler of ${explanation.service}"
    }

    private fun line(candidate: RouteExplanation.Candidate): String =
        "  ${candidate.worker}: ${candidate.verdict.name.lowercase()}, run ${candidate.runMillis} ms, " +
            "delay of others ${candidate.delayMillis} ms, first event ${candidate.firstMillis} ms, " +
            "cached ${candidate.cachedTokens} tokens, speed ${"%.2f".format(candidate.speed)}, " +
            "${candidate.requests} of ${candidate.slots} slots, ${candidate.remainingMillis} ms of work left"
}
