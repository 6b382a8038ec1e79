package org.poplarshift.core.catalogue

/** A small valid catalogue that tests modify with `copy`. */
object CatalogueFixture {
    val worker = Worker(id = "writer-1", address = "127.0.0.1:8101", zone = "thimi", capacity = 4)
    val writer =
        Upstream(
            id = "block-writer",
            owner = "models",
            kind = UpstreamKind.MODEL,
            workers = listOf(worker),
            models = listOf("block-writer"),
        )
    val service =
        Upstream(
            id = "catalogue-app",
            owner = "shops",
            kind = UpstreamKind.SERVICE,
            workers = listOf(worker.copy(id = "app-1", address = "127.0.0.1:8201")),
        )
    val organisation = Organisation(id = "office", owner = "head office", ratePerSecond = 10.0, burst = 20.0)
    val route =
        Route(id = "lookup", owner = "shops", method = "GET", pathPrefix = "/catalogue", upstream = "catalogue-app")
    val catalogue =
        Catalogue(
            zones = listOf(AvailabilityZone(name = "thimi", region = "bagmati")),
            organisations = listOf(organisation),
            upstreams = listOf(writer, service),
            routes = listOf(route),
        )
}
