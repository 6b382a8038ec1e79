package org.poplarshift.node.caller

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.OrganisationClass
import org.poplarshift.core.catalogue.Route
import org.poplarshift.core.catalogue.RouteTable
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.suspendingHandler

/** Serves the catalogue's routes to HTTP services, after all other routes of the callers' listener. */
class ServiceRoutes(
    private val context: NodeContext,
    private val callersRouter: Router,
    private val store: ConfigurationStore,
    private val authentication: CallerAuthentication,
    private val handler: OnlineHandler,
    private val preparation: RequestPreparation = RequestPreparation(context.settings.limits),
) : NodePart {
    private var tableVersion = Long.MIN_VALUE
    private var table = RouteTable(emptyList())

    override suspend fun start() {
        callersRouter.route().last().suspendingHandler(context.scope) { handle(it) }
    }

    private suspend fun handle(routing: RoutingContext) {
        val configuration = store.current.value
        val catalogue = configuration.catalogue
            ?: return refuse(routing, RefusalReason.NO_CONFIGURATION, "no current configuration")
        val path = routing.request().path().orEmpty()
        if (!RouteTable.isUnambiguous(path)) {
            return refuse(
                routing,
                RefusalReason.BAD_REQUEST,
                "the path must have no dot segments or encoded separators",
            )
        }
        val route = tableOf(catalogue, configuration.catalogueVersion).match(routing.request().method().name(), path)
            ?: return refuse(routing, RefusalReason.UNKNOWN_ROUTE, "no route for this method and path")
        if (route.open) {
            handler.handle(routing, keyId = null) { prepare(routing, it, catalogue, route, organisation = null) }
            return
        }
        when (val caller = authentication.authenticate(routing.request().headers())) {
            is AuthenticationResult.Refused -> handler.refuse(routing, caller.error)
            is AuthenticationResult.Authenticated -> handler.handle(routing, caller.key.keyId) {
                prepare(routing, it, catalogue, route, caller.organisation)
            }
        }
    }

    private fun refuse(routing: RoutingContext, reason: RefusalReason, message: String) =
        handler.refuse(routing, ErrorResponse(reason, message, RunStatus.NOT_RUN))

    private fun tableOf(catalogue: Catalogue, version: Long): RouteTable {
        if (version != tableVersion) table = RouteTable(catalogue.routes)
        tableVersion = version
        return table
    }

    private suspend fun prepare(
        routing: RoutingContext,
        requestId: String,
        catalogue: Catalogue,
        route: Route,
        organisation: Organisation?,
    ): PreparedRequest {
        val upstream = checkNotNull(catalogue.upstream(route.upstream)) { "route ${route.id} has no upstream" }
        if (organisation != null && !isPermitted(organisation, route, upstream.isOpenTo(organisation.id))) {
            val message = "the organisation may not use this route"
            return PreparedRequest.Rejected(ErrorResponse(RefusalReason.FORBIDDEN_ROUTE, message, RunStatus.NOT_RUN))
        }
        val read = when (val result = preparation.read(routing.request())) {
            is ReadRequest.Refused -> return PreparedRequest.Rejected(result.error)
            is ReadRequest.Complete -> result
        }
        val method = routing.request().method()
        return PreparedRequest.Ready(
            OnlineRequest(
                requestId = requestId,
                requestClass = RequestClass.SERVICE,
                organisation = organisation,
                upstream = upstream,
                method = method,
                path = read.path,
                headers = read.headers,
                body = read.body,
                isIdempotent = route.idempotent,
                idempotencyKey = routing.request().getHeader("Idempotency-Key").takeUnless { route.idempotent },
                digest = Digests.sha256(organisation?.id.orEmpty(), method.name(), read.path, read.body.toString()),
            ),
        )
    }

    private fun isPermitted(organisation: Organisation, route: Route, upstreamIsOpen: Boolean): Boolean {
        val routeIsOpen = route.organisations.isEmpty() || organisation.id in route.organisations
        return routeIsOpen && upstreamIsOpen && organisation.organisationClass != OrganisationClass.BATCH_ONLY
    }
}
