package org.poplarshift.operator

import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.OrganisationClass
import org.poplarshift.core.catalogue.Route
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.wire.WireJson
import java.nio.file.Path
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

/** A valid catalogue with every kind of entry. */
object TestCatalogue {
    val catalogue = Catalogue(
        zones = listOf(AvailabilityZone("z", "r")),
        organisations = listOf(
            Organisation("shop", "team", ratePerSecond = 5.0, burst = 10.0),
            Organisation("night", "team", 5.0, 10.0, organisationClass = OrganisationClass.BATCH_ONLY),
        ),
        upstreams = listOf(
            Upstream(
                "writer",
                "team",
                UpstreamKind.MODEL,
                listOf(worker("w", 1)),
                listOf("m"),
                listOf("shop", "night"),
            ),
            Upstream("labels", "team", UpstreamKind.SERVICE, listOf(worker("s", 2))),
        ),
        routes = listOf(
            Route("label", "team", "POST", "/labels", "labels", idempotent = false, organisations = listOf("night")),
            Route("page", "team", "GET", "/page", "labels", open = true),
        ),
    )

    private fun worker(id: String, port: Int) = Worker(id, "127.0.0.1:$port", "z", capacity = 4)

    /** Writes the catalogue to a temporary file after [edit] has changed its text. */
    fun file(edit: (String) -> String = { it }): Path = createTempFile(suffix = ".json").also {
        it.toFile().deleteOnExit()
        it.writeText(edit(WireJson.strict.encodeToString(Catalogue.serializer(), catalogue)))
    }
}
