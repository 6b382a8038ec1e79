package org.poplarshift.ports

import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.poplarshift.wire.WireJson

/**
 * The platform's list of VMs over HTTP.
 *
 * @param address IP address and port of the platform
 */
class HttpVmList(client: WebClient, address: String, private val deadlineMillis: Long = 3_000) : VmList {
    private val endpoint = PlatformEndpoint(client, address)

    override suspend fun read(): VmListResult =
        when (val result = endpoint.send(HttpMethod.GET, "/vms", null, deadlineMillis)) {
            is PlatformResult.NotSent -> VmListResult.Unavailable(result.reason)
            is PlatformResult.NoResponse -> VmListResult.Unavailable(result.reason)
            is PlatformResult.Response -> decode(result)
        }

    private fun decode(response: PlatformResult.Response): VmListResult {
        if (response.status != HTTP_OK) {
            return VmListResult.Unavailable("VM list responded with HTTP ${response.status}")
        }
        return try {
            VmListResult.Vms(WireJson.lenient.decodeFromString<VmsBody>(response.body).vms)
        } catch (exception: SerializationException) {
            VmListResult.Unavailable("VM list is not valid: ${exception.message}")
        }
    }

    @Serializable
    private data class VmsBody(val vms: List<ListedVm>)

    private companion object {
        const val HTTP_OK = 200
    }
}
