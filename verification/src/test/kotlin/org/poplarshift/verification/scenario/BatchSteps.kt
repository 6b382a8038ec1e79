package org.poplarshift.verification.scenario

import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Steps in which callers submit, cancel and read batch jobs. */
class BatchSteps(private val world: ScenarioWorld) {
    private val federation get() = world.federation

    @When("{string} submits job {string} of {int} items through node {string}")
    fun submit(organisation: String, job: String, items: Int, vm: String) {
        world.response = federation.http.send(
            method = "POST",
            address = world.callerAddress(vm),
            path = "/v1/batches/$job",
            body = (1..items).joinToString("\n") { item(job, it) },
            headers = world.headers(organisation),
        )
    }

    @When("{string} cancels job {string} through node {string}")
    fun cancel(organisation: String, job: String, vm: String) {
        world.response =
            federation.http.send(
                "DELETE",
                world.callerAddress(vm),
                "/v1/batches/$job",
                headers = world.headers(organisation),
            )
    }

    @Then("job {string} of {string} is {string} within {long} seconds at node {string}")
    fun awaitState(job: String, organisation: String, state: String, seconds: Long, vm: String) =
        Deadline.await(seconds, "job $job is $state at $vm") {
            val response = federation.http.send(
                "GET",
                world.callerAddress(vm),
                "/v1/batches/$job",
                headers = world.headers(organisation),
            )
            response.statusCode() == HTTP_OK &&
                Json.parseToJsonElement(response.body()).jsonObject.getValue("state").jsonPrimitive.content == state
        }

    @Then("job {string} of {string} has {int} results at node {string}, one for each item")
    fun checkResultCount(job: String, organisation: String, count: Int, vm: String) {
        val ids = resultLines(job, organisation, vm).map { it.getValue("id").jsonPrimitive.content }
        check(ids.size == count) { "job $job has ${ids.size} results instead of $count" }
        check(ids.toSet().size == count) { "job $job has more than one result for an item" }
    }

    @Then("all {int} items of job {string} of {string} have ended at node {string}")
    fun checkAllEnded(count: Int, job: String, organisation: String, vm: String) {
        val status = Json.parseToJsonElement(send("GET", organisation, "/v1/batches/$job", vm).body()).jsonObject
        val ended = listOf("done", "failed", "cancelled").sumOf { status.getValue(it).jsonPrimitive.int }
        check(ended == count) { "job $job has $ended ended items instead of $count: $status" }
    }

    @Then("{int} results of job {string} of {string} at node {string} have the outcome {string}")
    fun checkOutcomeCount(count: Int, job: String, organisation: String, vm: String, outcome: String) {
        val outcomes = resultLines(job, organisation, vm).map { it.getValue("outcome").jsonPrimitive.content }
        check(
            outcomes.count {
                it == outcome
            } == count,
        ) { "outcomes of job $job: ${outcomes.groupingBy { it }.eachCount()}" }
    }

    @Then("some results of job {string} of {string} are available at node {string} within {long} seconds")
    fun awaitSomeResults(job: String, organisation: String, vm: String, seconds: Long) =
        Deadline.await(seconds, "job $job has results at $vm") { resultLines(job, organisation, vm).isNotEmpty() }

    private fun resultLines(job: String, organisation: String, vm: String): List<JsonObject> {
        val response = send("GET", organisation, "/v1/batches/$job/results?from=0&limit=100000", vm)
        check(response.statusCode() == HTTP_OK) {
            "reading results failed: ${response.statusCode()} ${response.body()}"
        }
        return response.body().lines().filter { it.isNotBlank() }.map { Json.parseToJsonElement(it).jsonObject }
    }

    private fun send(method: String, organisation: String, path: String, vm: String) =
        federation.http.send(method, world.callerAddress(vm), path, headers = world.headers(organisation))

    private fun item(job: String, number: Int): String {
        val marker = if (number % REFUSED_ITEM_INTERVAL == 0) "[[refuse]]" else ""
        val content = "$marker instructions $number of $job"
        return """{"id":"item-$number","body":{"model":"writer","max_tokens":8,""" +
            """"messages":[{"role":"user","content":"$content"}]}}"""
    }

    private companion object {
        const val HTTP_OK = 200
        const val REFUSED_ITEM_INTERVAL = 20
    }
}
