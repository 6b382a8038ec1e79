package org.poplarshift.verification.scenario

import io.cucumber.java.After
import io.cucumber.java.Before
import io.cucumber.java.Scenario
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.poplarshift.core.catalogue.Organisation

/** Steps that start a federation, change its configuration and check its state. */
class FederationSteps(private val world: ScenarioWorld) {
    private var scenarioName = ""

    @Before
    fun storeScenarioName(scenario: Scenario) {
        scenarioName = scenario.name.lowercase().replace(Regex("[^a-z0-9]+"), "-")
    }

    @After
    fun stop() {
        if (world.isStarted) world.federation.close()
    }

    @Given("organisation {string} with a rate of {double}\\/s and a burst of {double}")
    fun addOrganisation(name: String, rate: Double, burst: Double) {
        world.organisations += Organisation(id = name, owner = name, ratePerSecond = rate, burst = burst)
    }

    @Given("a federation of {int} zones with {int} nodes in each is running")
    fun startFederation(zones: Int, nodes: Int) {
        world.startFederation(FederationPlan(zones, nodes), scenarioName)
        val federation = world.federation
        federation.publish(federation.plan.catalogue(world.organisations))
        world.organisations.forEach { federation.issueKey(it.id, world.key(it.id)) }
        federation.plan.nodes.forEach { federation.startNode(it.vm) }
        federation.plan.nodes.forEach { federation.awaitReady(it.vm) }
        awaitSlots()
    }

    @When("an operator raises the burst of {string} to {double}")
    fun raiseBurst(organisation: String, burst: Double) {
        world.organisations.replaceAll { if (it.id == organisation) it.copy(burst = burst) else it }
        world.federation.publish(world.federation.plan.catalogue(world.organisations))
    }

    @When("two operators publish a catalogue concurrently")
    fun publishConcurrently() {
        val federation = world.federation
        val basedOn = federation.catalogueVersion
        val firstChange = world.organisations.map { it.copy(burst = it.burst + 1) }
        val secondChange = world.organisations.map { it.copy(burst = it.burst + 2) }
        winningVersion = federation.publishBasedOn(basedOn, federation.plan.catalogue(firstChange))
        federation.publishBasedOn(basedOn, federation.plan.catalogue(secondChange))
    }

    private var winningVersion = 0L

    @Then("the first of the two catalogues is in force at every node within {long} seconds")
    fun awaitFirstCatalogue(seconds: Long) = awaitVersion(seconds, "catalogueVersion", winningVersion)

    @Then("the newest configuration is in force at every node within {long} seconds")
    fun awaitNewestConfiguration(seconds: Long) =
        awaitVersion(seconds, "configurationVersion", world.federation.newestOffset)

    private fun awaitVersion(seconds: Long, field: String, version: Long) {
        val nodes = world.federation.plan.nodes.filter { world.federation.process(it.vm).isAlive }
        Deadline.await(seconds, "$field $version is in force at all nodes") {
            nodes.all { status(it.vm).getValue(field).jsonPrimitive.long == version }
        }
    }

    /** Waits for all slots, because the share of a rate that belongs to an unclaimed slot cannot be used. */
    private fun awaitSlots() {
        val plan = world.federation.plan
        Deadline.await(SLOT_SECONDS, "all slots are held") {
            val held = plan.nodes.sumOf { status(it.vm)["slots"]?.jsonArray?.size ?: 0 }
            held >= plan.zones.size * FederationPlan.SLOTS_IN_ZONE
        }
    }

    private fun status(vm: String) = Json.parseToJsonElement(
        world.federation.http.send(
            "GET",
            world.federation.plan.node(vm).peerListenAddress.hostAndPort(),
            "/status",
        ).body(),
    ).jsonObject

    private companion object {
        const val SLOT_SECONDS = 30L
    }
}
