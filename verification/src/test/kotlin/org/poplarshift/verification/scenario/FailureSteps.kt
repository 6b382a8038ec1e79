package org.poplarshift.verification.scenario

import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.serialization.json.JsonPrimitive

/** Steps that inject failures. */
class FailureSteps(private val world: ScenarioWorld) {
    private val federation get() = world.federation
    private val plan get() = world.federation.plan

    private val unlisted = mutableSetOf<String>()

    @When("node {string} is killed")
    fun kill(vm: String) {
        federation.process(vm).kill()
        removeFromVmList(vm)
    }

    @When("node {string} is removed from the platform's VM list")
    fun removeFromVmList(vm: String) {
        unlisted += vm
        federation.setVmList(plan.nodes.map { it.vm } - unlisted)
    }

    @When("node {string} is paused")
    fun pause(vm: String) = federation.process(vm).pause()

    @When("node {string} is resumed")
    fun resume(vm: String) = federation.process(vm).resume()

    @When("node {string} receives a termination signal")
    fun terminate(vm: String) = federation.process(vm).terminate()

    @When("node {string} is restarted")
    fun restart(vm: String) {
        unlisted -= vm
        federation.setVmList(plan.nodes.map { it.vm } - unlisted)
        federation.startNode(vm)
    }

    @When("node {string} is restarted and is ready")
    fun restartAndAwait(vm: String) {
        restart(vm)
        federation.awaitReady(vm)
    }

    @Then("node {string} exits with code {int} within {long} seconds")
    fun checkExitCode(vm: String, code: Int, seconds: Long) {
        val actual = federation.process(vm).exitCode(seconds)
        check(actual == code) { "$vm: exit code $actual, see ${federation.process(vm).logFile}" }
    }

    @When("the platform is unavailable")
    fun stopPlatform() = federation.setFaults(
        federation.platformAddress,
        mapOf(
            "logOutage" to JsonPrimitive("refuse"),
            "vmListOutage" to JsonPrimitive("refuse"),
            "weightStoreOutage" to JsonPrimitive("refuse"),
        ),
    )

    @When("the platform is available again")
    fun restorePlatform() = federation.setFaults(federation.platformAddress, emptyMap())

    @When("the next {int} appends take effect and their responses are lost")
    fun loseAppendResponses(count: Int) =
        federation.setFaults(federation.platformAddress, mapOf("lostAppendResponses" to JsonPrimitive(count)))

    @When("zone {string} is partitioned from the platform")
    fun partitionZoneFromPlatform(zone: String) =
        federation.setPartitionedSources(federation.platformAddress, plan.nodesInZone(zone).map { it.vm })

    @When("node {string} is partitioned from the platform")
    fun partitionNodeFromPlatform(vm: String) = federation.setPartitionedSources(federation.platformAddress, listOf(vm))

    @When("zone {string} is partitioned from the other zones")
    fun partitionZone(zone: String) {
        val (inside, outside) = plan.nodes.partition { it.zone == zone }
        inside.forEach { node -> outside.forEach { federation.relay.partition(node.ip(), it.ip()) } }
    }

    @When("node {string} is partitioned from the other nodes")
    fun partitionNode(vm: String) {
        val node = plan.node(vm)
        (plan.nodes - node).forEach { federation.relay.partition(node.ip(), it.ip()) }
    }

    @When("all partitions heal")
    fun healPartitions() {
        federation.relay.healPartitions()
        restorePlatform()
    }

    @When("all established connections to the engines stop responding")
    fun silenceEngineConnections() = plan.engines.forEach {
        federation.setFaults(it.address, mapOf("silenceEstablished" to JsonPrimitive(true)))
    }

    @When("engine {string} reports that it is shutting down")
    fun reportLeaving(worker: String) = federation.setFaults(
        plan.engines.first { it.id == worker }.address,
        mapOf("leaving" to JsonPrimitive(true)),
    )

    @When("the next response of each engine belongs to another request")
    fun crossResponses() = plan.engines.forEach {
        federation.setFaults(it.address, mapOf("crossNextResponses" to JsonPrimitive(1)))
    }

    private fun PlannedNode.ip() = peerListenAddress.address
}
