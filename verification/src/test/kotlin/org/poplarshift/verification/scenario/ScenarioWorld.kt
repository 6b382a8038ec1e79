package org.poplarshift.verification.scenario

import org.poplarshift.core.catalogue.Organisation
import java.net.http.HttpResponse

/** State that the steps of one scenario share. Cucumber creates an instance for each scenario. */
class ScenarioWorld {
    private var runningFederation: Federation? = null

    val organisations = mutableListOf<Organisation>()

    /** The response to the most recent request that a step sent. */
    var response: HttpResponse<String>? = null

    val federation: Federation get() = checkNotNull(runningFederation) { "no federation has been started" }

    val isStarted: Boolean get() = runningFederation != null

    /** Starts the stand-ins of a federation. The nodes are started separately. */
    fun startFederation(plan: FederationPlan, scenario: String) {
        runningFederation = Federation(plan, scenario).also { it.startStandIns() }
    }

    /** Returns the API key of [organisation]. */
    fun key(organisation: String): String = "psk_scenario-$organisation"

    /** Returns the authorisation header for requests of [organisation]. */
    fun headers(organisation: String): Map<String, String> = mapOf("Authorization" to "Bearer ${key(organisation)}")

    /** Returns the address at which the node [vm] accepts requests of callers. */
    fun callerAddress(vm: String): String = federation.plan.node(vm).callerAddress.hostAndPort()
}
