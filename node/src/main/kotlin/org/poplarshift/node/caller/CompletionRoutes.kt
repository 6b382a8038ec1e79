package org.poplarshift.node.caller

import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.OrganisationClass
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.suspendingHandler

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
class CompletionRoutes(
    private val context: NodeContext,
    private val callersRouter: Router,
    private val store: ConfigurationStore,
    private val authentication: CallerAuthentication,
    private val handler: OnlineHandler,
    private val preparation: RequestPreparation = RequestPreparation(context.settings.limits),
    private val parser: CompletionParser = CompletionParser(),
) : NodePart {
    override suspend fun start() {
        callersRouter.post("/v1/chat/completions").suspendingHandler(context.scope) { handle(it, isChat = true) }
        callersRouter.post("/v1/completions").suspendingHandler(context.scope) { handle(it, isChat = false) }
    }

    private suspend fun handle(routing: RoutingContext, isChat: Boolean) {
        when (val caller = authentication.authenticate(routing.request().headers())) {
            is AuthenticationResult.Refused -> handler.refuse(routing, caller.error)
            is AuthenticationResult.Authenticated -> handler.handle(routing, caller.key.keyId) { requestId ->
                prepare(routing, requestId, caller.organisation, isChat)
            }
        }
    }

    private suspend fun prepare(
        routing: RoutingContext,
        requestId: String,
        organisation: Organisation,
        isChat: Boolean,
    ): PreparedRequest {
        val read = when (val result = preparation.read(routing.request())) {
            is ReadRequest.Refused -> return PreparedRequest.Rejected(result.error)
            is ReadRequest.Complete -> result
        }
        val completion = when (val result = parser.parse(read.body.toString(), isChat)) {
            is CompletionResult.Invalid -> return OnlineHandler.badRequest(result.describe())
            is CompletionResult.Valid -> result
        }
        val upstream = store.current.value.catalogue?.upstreamOfModel(completion.model)
            ?: return OnlineHandler.badRequest("model must be one of those that GET /v1/models lists")
        return permit(organisation, upstream) ?: PreparedRequest.Ready(
            OnlineRequest(
                requestId = requestId,
                requestClass = RequestClass.COMPLETION,
                organisation = organisation,
                upstream = upstream,
                method = HttpMethod.POST,
                path = read.path,
                headers = read.headers,
                body = read.body,
                isIdempotent = true,
                idempotencyKey = null,
                digest = Digests.sha256(organisation.id, completion.canonicalBody),
                costTokens = completion.costTokens,
                prefix = completion.prefix,
            ),
        )
    }

    private fun permit(organisation: Organisation, upstream: Upstream): PreparedRequest.Rejected? {
        val message = when {
            organisation.organisationClass == OrganisationClass.BATCH_ONLY -> "the organisation may use batch jobs only"
            !upstream.isOpenTo(organisation.id) -> "the organisation may not use this model"
            else -> return null
        }
        return PreparedRequest.Rejected(ErrorResponse(RefusalReason.FORBIDDEN_ROUTE, message, RunStatus.NOT_RUN))
    }
}
