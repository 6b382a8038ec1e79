package org.poplarshift.node.caller

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.json

/** Serves `GET /v1/models`: the models that the caller's organisation may use. */
class ModelRoutes(
    private val callersRouter: Router,
    private val store: ConfigurationStore,
    private val authentication: CallerAuthentication,
    private val handler: OnlineHandler,
) : NodePart {
    override suspend fun start() {
        callersRouter.get("/v1/models").handler { list(it) }
    }

    private fun list(routing: RoutingContext) {
        when (val caller = authentication.authenticate(routing.request().headers())) {
            is AuthenticationResult.Refused -> handler.refuse(routing, caller.error)
            is AuthenticationResult.Authenticated -> {
                val upstreams = store.current.value.catalogue?.upstreams.orEmpty()
                val permitted = upstreams.filter { it.isOpenTo(caller.organisation.id) }
                val models = permitted.flatMap { upstream -> upstream.models.map { Model(it, upstream.owner) } }
                routing.json(ModelList.serializer(), ModelList(models))
            }
        }
    }

    @Serializable
    private data class ModelList(val data: List<Model>, @SerialName("object") val kind: String = "list")

    @Serializable
    private data class Model(
        val id: String,
        @SerialName("owned_by") val owner: String,
        @SerialName("object") val kind: String = "model",
    )
}
