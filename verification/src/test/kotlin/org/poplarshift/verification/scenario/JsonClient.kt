package org.poplarshift.verification.scenario

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** A blocking HTTP client for scenario steps. Requests have the content type `application/json`. */
class JsonClient {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(CONNECT_SECONDS))
        .build()

    /** Sends a request and waits for the complete response. */
    fun send(
        method: String,
        address: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
        timeoutSeconds: Long = 30,
    ): HttpResponse<String> = client.send(
        request(method, address, path, body, headers, timeoutSeconds),
        HttpResponse.BodyHandlers.ofString(),
    )

    /** Sends a request and returns a response whose body yields lines as they arrive. */
    fun stream(
        method: String,
        address: String,
        path: String,
        body: String,
        headers: Map<String, String>,
    ): HttpResponse<java.util.stream.Stream<String>> = client.send(
        request(method, address, path, body, headers, STREAM_SECONDS),
        HttpResponse.BodyHandlers.ofLines(),
    )

    private fun request(
        method: String,
        address: String,
        path: String,
        body: String?,
        headers: Map<String, String>,
        timeoutSeconds: Long,
    ): HttpRequest {
        val publisher = body?.let { HttpRequest.BodyPublishers.ofString(it) } ?: HttpRequest.BodyPublishers.noBody()
        val builder = HttpRequest.newBuilder(URI("http://$address$path"))
            .method(method, publisher)
            .timeout(Duration.ofSeconds(timeoutSeconds))
        (mapOf("Content-Type" to "application/json") + headers).forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private companion object {
        const val CONNECT_SECONDS = 3L
        const val STREAM_SECONDS = 60L
    }
}
