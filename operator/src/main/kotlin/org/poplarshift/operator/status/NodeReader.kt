package org.poplarshift.operator.status

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.wire.ConfigurationResponse
import org.poplarshift.wire.WireJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** Reads the state of nodes at their peers ports. */
class NodeReader {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(DEADLINE)
        .build()

    /** Reads what the node at [address] has in force. */
    fun status(address: String): NodeReply<NodeStatus> = get(address, "/status", NodeStatus.serializer())

    /** Reads the configuration in force at the node at [address]. */
    fun configuration(address: String): NodeReply<Configuration?> {
        val reply = get(address, "/peer/configuration?after=-1", ConfigurationResponse.serializer())
        return when (reply) {
            is NodeReply.Answered -> NodeReply.Answered(reply.value.configuration)
            is NodeReply.Unreachable -> reply
        }
    }

    private fun <T> get(address: String, path: String, serializer: DeserializationStrategy<T>): NodeReply<T> = try {
        val request = HttpRequest.newBuilder(URI.create("http://$address$path")).timeout(DEADLINE).build()
        val response = client.send(request, BodyHandlers.ofString())
        if (response.statusCode() == HTTP_OK) {
            NodeReply.Answered(WireJson.lenient.decodeFromString(serializer, response.body()))
        } else {
            NodeReply.Unreachable("HTTP ${response.statusCode()}")
        }
    } catch (exception: IOException) {
        NodeReply.Unreachable(exception.message ?: exception.javaClass.simpleName)
    } catch (exception: SerializationException) {
        NodeReply.Unreachable("the response is not valid: ${exception.message}")
    }

    private companion object {
        val DEADLINE: Duration = Duration.ofSeconds(3)
        const val HTTP_OK = 200
    }
}

/** The outcome of reading from a node. */
sealed interface NodeReply<out T> {
    /** The node responded. */
    data class Answered<T>(val value: T) : NodeReply<T>

    /** The node gave no usable response. */
    data class Unreachable(val reason: String) : NodeReply<Nothing>
}
