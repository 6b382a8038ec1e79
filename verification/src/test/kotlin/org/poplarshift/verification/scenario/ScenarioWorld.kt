package org.poplarshift.verification.scenario

import org.poplarshift.core.catalogue.Organisation
import java.net.http.HttpResponse

/** What the steps of one scenario share. Cucumber makes a new one for each scenario. */
class ScenarioWorld {
    private var running: Federation? = null

    val organisations = mutableListOf<Organisation>()

    /** The answer to the last request of a step. */
    var answer: HttpResponse<String>? = null

    val federation: Federation get() = checkNotNull(running) { "the scenario has no federation" }

    val isStarted: Boolean get() = running != null

    /** Starts the stand-ins of a federation; its nodes are started later. */
    fun create(plan: FederationPlan, scenario: String) {
        running = Federation(plan, scenario).also { it.startStandIns() }
    }

    /** The key of [organisation]. */
    fun key(organisation: String): String = "psk_scenario-$organisation"

    /** The headers of a request of [organisation]. */
    fun headers(organisation: String): Map<String, String> = mapOf("Authorization" to "Bearer ${key(organisation)}")

    /** Where callers reach the node [vm]. */
    fun callers(vm: String): String = federation.plan.node(vm).callers.text()
}
