package org.poplarshift.ports

import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import java.net.URLEncoder

/**
 * The platform's weight store over HTTP.
 *
 * @param address IP address and port of the platform
 */
class HttpWeightStore(client: WebClient, address: String, private val deadlineMillis: Long = 3_000) : WeightStore {
    private val endpoint = PlatformEndpoint(client, address)

    override suspend fun reserveLoad(model: String): WeightStoreResult {
        val uri = "/weights/${URLEncoder.encode(model, Charsets.UTF_8)}/reservations"
        return when (val result = endpoint.send(HttpMethod.POST, uri, null, deadlineMillis)) {
            is PlatformResult.NotSent -> WeightStoreResult.Unavailable(result.reason)
            is PlatformResult.NoResponse -> WeightStoreResult.Unavailable(result.reason)
            is PlatformResult.Response -> reservationResult(result)
        }
    }

    private fun reservationResult(response: PlatformResult.Response): WeightStoreResult = when (response.status) {
        HTTP_OK -> WeightStoreResult.Granted
        HTTP_TOO_MANY_REQUESTS -> WeightStoreResult.RateLimited((response.retryAfterSeconds ?: 1) * MILLIS_PER_SECOND)
        else -> WeightStoreResult.Unavailable("weight store responded with HTTP ${response.status}")
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_TOO_MANY_REQUESTS = 429
        const val MILLIS_PER_SECOND = 1_000L
    }
}
