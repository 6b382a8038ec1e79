package org.poplarshift.core.catalogue

/**
 * Validates the references, ranges and unique identifiers of a catalogue. All nodes run the same checks on the same
 * record, so that every node rejects an invalid catalogue.
 */
class CatalogueValidator {
    /** Returns all problems of [catalogue]. [previous] is the catalogue that it replaces, or null for the first. */
    fun validate(catalogue: Catalogue, previous: Catalogue? = null): List<CatalogueProblem> = zoneProblems(catalogue) +
        organisationProblems(catalogue) +
        catalogue.upstreams.flatMapIndexed { index, upstream -> upstreamProblems(catalogue, upstream, index) } +
        duplicates("upstreams", catalogue.upstreams.map { it.id }) +
        duplicates("upstreams.workers", catalogue.upstreams.flatMap { it.workers }.map { it.id }) +
        duplicates("upstreams.models", catalogue.upstreams.flatMap { it.models }) +
        routeProblems(catalogue) +
        batchProblems(catalogue.batch) +
        slotProblems(catalogue, previous)

    private fun zoneProblems(catalogue: Catalogue): List<CatalogueProblem> {
        val empty = requirement(catalogue.zones.isNotEmpty(), "zones", "no zone", "at least one zone")
        val slots = catalogue.zones.flatMapIndexed { index, zone ->
            requirement(zone.slots >= 1, "zones[$index].slots", "${zone.slots}", "at least 1")
        }
        return empty + slots + duplicates("zones", catalogue.zones.map { it.name })
    }

    private fun organisationProblems(catalogue: Catalogue): List<CatalogueProblem> {
        val ranges = catalogue.organisations.flatMapIndexed { index, organisation ->
            val path = "organisations[$index]"
            positive(organisation.ratePerSecond, "$path.ratePerSecond") +
                positive(organisation.burst, "$path.burst") +
                positive(organisation.weight, "$path.weight")
        }
        return ranges + duplicates("organisations", catalogue.organisations.map { it.id })
    }

    private fun upstreamProblems(catalogue: Catalogue, upstream: Upstream, index: Int): List<CatalogueProblem> {
        val path = "upstreams[$index]"
        val zones = catalogue.zones.map { it.name }.toSet()
        val workers = upstream.workers.flatMapIndexed { workerIndex, worker ->
            val workerPath = "$path.workers[$workerIndex]"
            reference(worker.zone, zones, "$workerPath.zone") +
                requirement(worker.capacity >= 1, "$workerPath.capacity", "${worker.capacity}", "at least 1") +
                requirement(ADDRESS.matches(worker.address), "$workerPath.address", worker.address, "IP address:port")
        }
        val isModel = upstream.kind == UpstreamKind.MODEL
        return workers +
            requirement(isModel == upstream.models.isNotEmpty(), "$path.models", "${upstream.models}", MODELS_RULE) +
            requirement(
                upstream.retryBudgetShare in 0.0..1.0,
                "$path.retryBudgetShare",
                "${upstream.retryBudgetShare}",
                "0 to 1",
            ) +
            organisationReferences(catalogue, upstream.organisations, path)
    }

    private fun routeProblems(catalogue: Catalogue): List<CatalogueProblem> {
        val services = catalogue.upstreams.filter { it.kind == UpstreamKind.SERVICE }.map { it.id }.toSet()
        val references = catalogue.routes.flatMapIndexed { index, route ->
            val path = "routes[$index]"
            reference(route.upstream, services, "$path.upstream") +
                requirement(route.method in METHODS, "$path.method", route.method, METHODS.joinToString()) +
                requirement(route.pathPrefix.startsWith("/"), "$path.pathPrefix", route.pathPrefix, "a leading /") +
                organisationReferences(catalogue, route.organisations, path)
        }
        return references + duplicates("routes", catalogue.routes.map { "${it.method} ${it.pathPrefix}" })
    }

    private fun batchProblems(batch: BatchPolicy): List<CatalogueProblem> =
        requirement(batch.maximumItems >= 1, "batch.maximumItems", "${batch.maximumItems}", "at least 1") +
            requirement(batch.maximumAttempts >= 1, "batch.maximumAttempts", "${batch.maximumAttempts}", "at least 1") +
            requirement(batch.headroom >= 0, "batch.headroom", "${batch.headroom}", "at least 0")

    // Rate and burst are divided by the number of slots. Nodes with different slot counts could together exceed the
    // limit, so that zones and slots must not change after the first catalogue.
    private fun slotProblems(catalogue: Catalogue, previous: Catalogue?): List<CatalogueProblem> {
        if (previous == null) return emptyList()
        val before = previous.zones.map { it.name to it.slots }.toSet()
        val after = catalogue.zones.map { it.name to it.slots }.toSet()
        return requirement(before == after, "zones", "$after", "the current zones and slots: $before")
    }

    private fun organisationReferences(catalogue: Catalogue, names: List<String>, path: String) =
        names.flatMapIndexed { index, name ->
            reference(name, catalogue.organisations.map { it.id }.toSet(), "$path.organisations[$index]")
        }

    private fun reference(name: String, known: Set<String>, path: String): List<CatalogueProblem> =
        requirement(name in known, path, name, "one of ${known.sorted().joinToString()}")

    private fun positive(value: Double, path: String): List<CatalogueProblem> =
        requirement(value > 0 && value.isFinite(), path, "$value", "more than 0")

    private fun duplicates(path: String, names: List<String>): List<CatalogueProblem> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.map {
            CatalogueProblem(path = path, found = "$it twice", expected = "unique names")
        }

    private fun requirement(holds: Boolean, path: String, found: String, expected: String): List<CatalogueProblem> =
        if (holds) emptyList() else listOf(CatalogueProblem(path = path, found = found, expected = expected))

    private companion object {
        val ADDRESS = Regex("""[0-9a-fA-F.:\[\]]+:\d{1,5}""")
        val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        const val MODELS_RULE = "models for a model upstream, none for a service"
    }
}
