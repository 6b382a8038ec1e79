package org.poplarshift.operator.status

import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import org.poplarshift.ports.HttpVmList
import org.poplarshift.ports.VmListResult
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.io.path.readText

/** Shows the status of each node and, if a model or path is given, why the node would refuse such a request. */
@Command(
    name = "status",
    description = ["Shows the status of each node and why it would refuse a request."],
)
class StatusCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--node"], paramLabel = "IP:PORT", description = ["Peers address of a node; may be repeated."])
    private var nodes: List<String> = emptyList()

    @Option(
        names = ["--platform"],
        paramLabel = "IP:PORT",
        defaultValue = "\${env:POPLARSHIFT_PLATFORM}",
        description = ["Address of the platform, which lists the VMs. Used when no node is given."],
    )
    private var platform: String? = null

    @Option(names = ["--key-file"], paramLabel = "FILE", description = ["File with the key of the request to check."])
    private var keyFile: Path? = null

    @Option(names = ["--organisation"], description = ["Organisation of the request to check, instead of a key."])
    private var organisation: String? = null

    @Option(names = ["--model"], description = ["Model of the request to check."])
    private var model: String? = null

    @Option(names = ["--method"], defaultValue = "GET", description = ["Method of the request to check."])
    private lateinit var method: String

    @Option(names = ["--path"], description = ["Path of the request to check, for a request without a model."])
    private var path: String? = null

    private val nodeClient = NodeClient()

    override fun call(): Int {
        val addresses = nodes.ifEmpty { readPeerAddresses() }
        val reachable = addresses.map { showNode(it) }
        return if (reachable.isNotEmpty() && reachable.all { it }) ExitCode.DONE else ExitCode.FAILED
    }

    private fun showNode(address: String): Boolean {
        val out = spec.commandLine().out
        val status = when (val result = nodeClient.status(address)) {
            is NodeResult.Failure -> {
                out.println("$address: no status (${result.reason})")
                return false
            }

            is NodeResult.Success -> result.value
        }
        out.println("${status.vm} ($address, ${status.availabilityZone}): ${describe(status)}")
        status.refusals.filterValues { it > 0 }.forEach { (code, count) -> out.println("  refused $code: $count") }
        if (model != null || path != null) refusalsOf(address, status).forEach { out.println("  would refuse, $it") }
        return true
    }

    private fun describe(status: NodeStatus): String {
        val slots = status.slots.ifEmpty { listOf("none") }.joinToString()
        return "${status.state}, catalogue ${status.catalogueVersion}, configuration ${status.configurationVersion} " +
            "(${age(status)}), ${status.openRequests} open requests, slots $slots"
    }

    private fun age(status: NodeStatus) = status.configurationAgeMillis?.let { "confirmed $it ms ago" } ?: "unconfirmed"

    private fun refusalsOf(address: String, status: NodeStatus): List<String> {
        val key = keyFile?.readText()?.trim()
        val accessCheck = AccessCheck(key?.let(KeyDirectory::hash), organisation, model, method, path)
        val nodeProblems = if (status.state == "serving") emptyList() else listOf("the node is ${status.state}")
        return when (val result = nodeClient.configuration(address)) {
            is NodeResult.Failure -> nodeProblems + "cannot read the configuration: ${result.reason}"
            is NodeResult.Success -> nodeProblems + accessCheck.refusals(result.value).map { it.describe() }
        }
    }

    private fun readPeerAddresses(): List<String> = runBlocking {
        val address = platform ?: throw OperatorException("--node or --platform is required", ExitCode.USAGE)
        val vertx = Vertx.vertx()
        try {
            when (val result = HttpVmList(WebClient.create(vertx), address, VM_LIST_TIMEOUT_MILLIS).read()) {
                is VmListResult.Vms -> result.vms.map { it.peerAddress }
                is VmListResult.Unavailable -> throw OperatorException(
                    "cannot read the list of VMs: ${result.reason}",
                )
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private companion object {
        // The first request of a process can take more than 3 s when other programs use all cores.
        const val VM_LIST_TIMEOUT_MILLIS = 10_000L
    }
}
