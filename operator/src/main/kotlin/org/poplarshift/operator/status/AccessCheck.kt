package org.poplarshift.operator.status

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.OrganisationClass
import org.poplarshift.core.catalogue.RouteTable
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.verdict.RefusalReason

/**
 * Checks whether a configuration would refuse a request. Rate limits and load are not considered.
 *
 * @property keySha256 SHA-256 hash of the caller's key; null if [organisation] is set or the request has no key
 * @property model model of a completion; null for a request that is routed by its [path]
 */
data class AccessCheck(
    val keySha256: String? = null,
    val organisation: String? = null,
    val model: String? = null,
    val method: String = "GET",
    val path: String? = null,
) {
    /** Returns the reasons why [configuration] would refuse the request; empty if it would not. */
    fun refusals(configuration: Configuration?): List<AccessRefusal> {
        val catalogue = configuration?.catalogue
            ?: return listOf(AccessRefusal(RefusalReason.NO_CONFIGURATION, "the node has no catalogue"))
        val route = path?.let { RouteTable(catalogue.routes).match(method, it) }
        if (path != null && route == null) {
            return listOf(AccessRefusal(RefusalReason.UNKNOWN_ROUTE, "no route matches $method $path"))
        }
        if (route?.open == true) return emptyList()
        val caller = caller(configuration, catalogue)
            ?: return listOf(
                AccessRefusal(RefusalReason.UNKNOWN_KEY, "the key is unknown or withdrawn or the organisation unknown"),
            )
        val isForbidden = route != null && route.organisations.isNotEmpty() && caller.id !in route.organisations
        if (isForbidden) {
            return listOf(AccessRefusal(RefusalReason.FORBIDDEN_ROUTE, "route ${route.id} is not open to ${caller.id}"))
        }
        return model?.let { modelRefusals(catalogue, caller, it) }.orEmpty()
    }

    private fun caller(configuration: Configuration, catalogue: Catalogue): Organisation? {
        val id = organisation ?: configuration.keys.firstOrNull { it.sha256 == keySha256 }?.organisation
        return id?.let(catalogue::organisation)
    }

    private fun modelRefusals(catalogue: Catalogue, caller: Organisation, model: String): List<AccessRefusal> {
        val upstream = catalogue.upstreamOfModel(model)
            ?: return listOf(AccessRefusal(RefusalReason.BAD_REQUEST, "no upstream serves the model $model"))
        return buildList {
            if (!upstream.isOpenTo(caller.id)) {
                add(AccessRefusal(RefusalReason.FORBIDDEN_ROUTE, "upstream ${upstream.id} is not open to ${caller.id}"))
            }
            if (caller.organisationClass == OrganisationClass.BATCH_ONLY) {
                add(AccessRefusal(RefusalReason.FORBIDDEN_ROUTE, "${caller.id} may use batch jobs only"))
            }
            if (upstream.workers.isEmpty()) add(AccessRefusal(RefusalReason.NO_WORKER, "${upstream.id} has no workers"))
        }
    }
}

/** A reason why a request would be refused. */
data class AccessRefusal(val reason: RefusalReason, val message: String) {
    /** Returns a one-line message for the user. */
    fun describe(): String = "${reason.code}: $message"
}
