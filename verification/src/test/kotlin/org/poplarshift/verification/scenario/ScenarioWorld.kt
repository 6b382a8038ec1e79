package org.poplarshift.verification.scenario

import org.poplarshift.core.catalogue.Organisation
import java.net.http.HttpResponse

/** What the steps of one scenario share. Cucumber makes a new one for each scenario. */
class ScenarioWorld {
    private var runningFederation: Federation? = null

    val organisations = mutableListOf<Organisation>()

    /** The response to the last request of a step. */
    var response: HttpResponse<String>? = null

    val federation: Federation get() = checkNotNull(runningFederation) { "the scenario has no federation" }

    val isStarted: Boolean get() = runningFederation != null

    /** Starts the stand-ins of a federation; its nodes are started later. */
    fun startFederation(plan: FederationPlan, scenario: String) {
        runningFederation = Federation(plan, scenario).also { it.startStandIns() }
    }

    /** The key of [organisation]. */
    fun key(organisation: String): String = "psk_scenario-$organisation"

    /** The headers of a request of [organisation]. */
    fun headers(organisation: String): Map<String, String> = mapOf("Authorization" to "Bearer ${key(organisation)}")

    /** Where callers reach the node [vm]. */
    fun callerAddress(vm: String): String = federation.plan.node(vm).callerAddress.hostAndPort()
}
