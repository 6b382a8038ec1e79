package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.submission.ProposedItem
import org.poplarshift.core.submission.SubmissionRecord

/** Follows the configuration to the service whose workers run [item]. */
class ItemService(
    private val proposal: SubmissionRecord.Proposed,
    private val item: ProposedItem,
    private val configuration: () -> IngressConfiguration?,
) {
    private var seenConfiguration: IngressConfiguration? = null
    private var chosenService = proposal.service

    /** The service of the item's route in the configuration in force. */
    val current: String
        get() {
            val current = configuration()
            if (current != null && current !== seenConfiguration) {
                seenConfiguration = current
                update(current)
            }
            return chosenService
        }

    /** Regions whose workers may get the item, or null for all. */
    val allowedRegions: Set<String>?
        get() = configuration()?.let { it.allowedRegions(routeIn(it), proposal.organisation) }

    private fun update(current: IngressConfiguration) {
        // An item whose route was removed may still run where it was accepted.
        val service = routeIn(current)?.keepOrChooseService(chosenService, choice) ?: return
        if (service == chosenService) return
        logger.atInfo {
            message = "batch: item is moved to another service"
            payload = mapOf(
                "submission" to proposal.submission,
                "item" to item.id,
                "configuration" to current.version,
                "previous" to chosenService,
                "service" to service,
            )
        }
        chosenService = service
    }

    private fun routeIn(current: IngressConfiguration): IngressRoute? = current.findRoute(proposal.route)
        ?: current.findRoute(proposal.host, item.path)?.takeIf { it.kind == RouteKind.BATCH }

    // Derived from the item, so that all nodes choose the same service.
    private val choice: Double
        get() = Math.floorMod(ItemRun.key(proposal, item).hashCode(), CHOICES) / CHOICES.toDouble()

    private companion object {
        val logger = KotlinLogging.logger {}
        const val CHOICES = 1_000
    }
}
