package org.poplarshift.core.catalogue

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.poplarshift.core.catalogue.CatalogueFixture.catalogue
import org.poplarshift.core.catalogue.CatalogueFixture.organisation
import org.poplarshift.core.catalogue.CatalogueFixture.route
import org.poplarshift.core.catalogue.CatalogueFixture.service
import org.poplarshift.core.catalogue.CatalogueFixture.worker
import org.poplarshift.core.catalogue.CatalogueFixture.writer

/** Guards against an invalid catalogue that passes validation. */
class CatalogueValidatorTest :
    FunSpec({
        data class Case(val path: String, val catalogue: Catalogue, val previous: Catalogue? = null)

        fun withWorker(worker: Worker) =
            catalogue.copy(upstreams = listOf(writer.copy(workers = listOf(worker)), service))

        val larger = catalogue.copy(zones = catalogue.zones.map { it.copy(slots = it.slots + 1) })

        test("a valid catalogue has no problems") {
            CatalogueValidator().validate(catalogue).shouldBeEmpty()
        }

        listOf(
            Case("zones", catalogue.copy(zones = emptyList(), upstreams = emptyList(), routes = emptyList())),
            Case("zones[0].slots", catalogue.copy(zones = catalogue.zones.map { it.copy(slots = 0) })),
            Case("zones", larger, previous = catalogue),
            Case(
                "organisations[0].ratePerSecond",
                catalogue.copy(organisations = listOf(organisation.copy(ratePerSecond = 0.0))),
            ),
            Case(
                "organisations[0].burst",
                catalogue.copy(organisations = listOf(organisation.copy(burst = Double.NaN))),
            ),
            Case("organisations[0].weight", catalogue.copy(organisations = listOf(organisation.copy(weight = -1.0)))),
            Case("organisations", catalogue.copy(organisations = listOf(organisation, organisation))),
            Case("upstreams[0].workers[0].zone", withWorker(worker.copy(zone = "nowhere"))),
            Case("upstreams[0].workers[0].capacity", withWorker(worker.copy(capacity = 0))),
            Case("upstreams[0].workers[0].address", withWorker(worker.copy(address = "writer.example:80"))),
            Case("upstreams[0].models", catalogue.copy(upstreams = listOf(writer.copy(models = emptyList()), service))),
            Case(
                "upstreams[0].retryBudgetShare",
                catalogue.copy(upstreams = listOf(writer.copy(retryBudgetShare = 2.0), service)),
            ),
            Case(
                "upstreams[0].organisations[0]",
                catalogue.copy(upstreams = listOf(writer.copy(organisations = listOf("other")), service)),
            ),
            Case(
                "upstreams.workers",
                catalogue.copy(upstreams = listOf(writer.copy(workers = listOf(worker, worker)), service)),
            ),
            Case("routes[0].upstream", catalogue.copy(routes = listOf(route.copy(upstream = "block-writer")))),
            Case("routes[0].method", catalogue.copy(routes = listOf(route.copy(method = "get")))),
            Case("routes[0].pathPrefix", catalogue.copy(routes = listOf(route.copy(pathPrefix = "catalogue")))),
            Case("routes", catalogue.copy(routes = listOf(route, route))),
            Case("batch.maximumAttempts", catalogue.copy(batch = BatchPolicy(maximumAttempts = 0))),
        ).forEach { case ->
            test(
                "rejects invalid ${case.path}${if (case.previous != null) " against the previous catalogue" else ""}",
            ) {
                CatalogueValidator().validate(case.catalogue, case.previous).map { it.path } shouldBe listOf(case.path)
            }
        }
    })
