package org.poplarshift.operator.batch

import org.poplarshift.operator.ExitCode
import org.poplarshift.operator.OperatorException
import picocli.CommandLine.Option
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublisher
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Path
import java.time.Duration
import java.util.stream.Stream
import kotlin.io.path.readText

/** The options with the node address and the key, shared by the commands of callers. */
class NodeOption {
    @Option(
        names = ["--node"],
        required = true,
        paramLabel = "IP:PORT",
        defaultValue = "\${env:POPLARSHIFT_NODE}",
        description = ["Callers' address of a node. Default: the environment variable POPLARSHIFT_NODE."],
    )
    lateinit var address: String

    @Option(
        names = ["--key-file"],
        paramLabel = "FILE",
        description = ["File with the key. Default: the environment variable POPLARSHIFT_KEY."],
    )
    var keyFile: Path? = null

    /**
     * Sends a request and returns the lines of the response.
     *
     * @throws OperatorException if the request fails or the status of the response is not 2xx
     */
    fun send(method: String, path: String, body: BodyPublisher): Stream<String> {
        val request = HttpRequest.newBuilder(URI.create("http://$address$path"))
            .method(method, body)
            .header("Authorization", "Bearer ${key()}")
            .timeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
            .build()
        val response = exchange(request)
        if (response.statusCode() / 100 == 2) return response.body()
        val text = response.body().toList().joinToString(" ")
        throw OperatorException("$method $path failed with HTTP ${response.statusCode()}: $text")
    }

    private fun exchange(request: HttpRequest): HttpResponse<Stream<String>> = try {
        val client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS))
            .build()
        client.send(request, BodyHandlers.ofLines())
    } catch (exception: ConnectException) {
        throw OperatorException(
            "cannot connect to $address; the request was not sent (${exception.message})",
            cause = exception,
        )
    } catch (exception: IOException) {
        throw OperatorException(
            "no response from $address; the request may have taken effect: $exception",
            cause = exception,
        )
    }

    private fun key(): String {
        val text = keyFile?.let(::readKey) ?: System.getenv("POPLARSHIFT_KEY")
        return text?.trim() ?: throw OperatorException("--key-file or POPLARSHIFT_KEY is required", ExitCode.USAGE)
    }

    private fun readKey(file: Path): String = try {
        file.readText()
    } catch (exception: IOException) {
        throw OperatorException("cannot read $file: ${exception.message}", ExitCode.USAGE, exception)
    }

    private companion object {
        const val CONNECT_TIMEOUT_SECONDS = 5L
        const val RESPONSE_TIMEOUT_SECONDS = 120L
    }
}
