package org.poplarshift.operator.status

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.dispatch.RouteExplanation
import org.poplarshift.wire.ConfigurationResponse
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** HTTP client for the status and the configuration of nodes, which they serve at their peers addresses. */
class NodeClient {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build()

    /** Reads the status of the node at [address]. */
    fun status(address: String): NodeResult<NodeStatus> = get(address, "/status", NodeStatus.serializer())

    /** Asks the node with the metrics [address] where the request that [query] describes would go now. */
    fun explanation(address: String, query: String): NodeResult<RouteExplanation> =
        get(address, "/explain-route?$query", RouteExplanation.serializer())

    /** Reads the current configuration of the node at [address]; null if it has none. */
    fun configuration(address: String): NodeResult<Configuration?> {
        val result = get(address, "/peer/configuration?after=-1", ConfigurationResponse.serializer())
        return when (result) {
            is NodeResult.Success -> NodeResult.Success(result.value.configuration)
            is NodeResult.Failure -> result
        }
    }

    private fun <T> get(address: String, path: String, serializer: DeserializationStrategy<T>): NodeResult<T> = try {
        val request = HttpRequest.newBuilder(URI.create("http://$address$path")).timeout(TIMEOUT).build()
        val response = client.send(request, BodyHandlers.ofString())
        if (response.statusCode() == HTTP_OK) {
            NodeResult.Success(WireJson.lenient.decodeFromString(serializer, response.body()))
        } else {
            NodeResult.Failure("HTTP ${response.statusCode()}")
        }
    } catch (exception: IOException) {
        NodeResult.Failure(exception.message ?: exception.javaClass.simpleName)
    } catch (exception: SerializationException) {
        NodeResult.Failure("invalid response: ${exception.message}")
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(3)
        const val HTTP_OK = 200
    }
}

/** The outcome of a request to a node. */
sealed interface NodeResult<out T> {
    /** The node returned a valid response. */
    data class Success<T>(val value: T) : NodeResult<T>

    /** The node could not be reached or did not return a valid response. */
    data class Failure(val reason: String) : NodeResult<Nothing>
}
