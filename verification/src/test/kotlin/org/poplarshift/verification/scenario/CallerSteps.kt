package org.poplarshift.verification.scenario

import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.poplarshift.core.configuration.KeyDirectory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList

/** Steps in which callers send online requests. */
class CallerSteps(private val world: ScenarioWorld) {
    private val federation get() = world.federation
    private val streamLines = CopyOnWriteArrayList<String>()
    private var stream: CompletableFuture<Void>? = null

    @When("{string} sends the prompt {string} through node {string}")
    fun sendPrompt(organisation: String, prompt: String, vm: String) {
        world.response = chat(organisation, prompt, vm)
    }

    @When("the key of {string} is withdrawn")
    fun withdrawKey(organisation: String) {
        federation.withdrawKey(world.key(organisation))
    }

    @Then("{int} engines have crashed")
    fun checkCrashes(count: Int) {
        val crashes = federation.process(Federation.STAND_INS).logFile.readLines().count { it.endsWith(" crashed") }
        check(crashes == count) { "$crashes engines have crashed instead of $count" }
    }

    @When("{string} opens a stream of {int} tokens through node {string}")
    fun openStream(organisation: String, tokens: Int, vm: String) {
        val message = """{"role":"user","content":"hem"}"""
        val body = """{"model":"writer","stream":true,"max_tokens":$tokens,"messages":[$message]}"""
        val address = world.callerAddress(vm)
        streamLines.clear()
        stream = CompletableFuture.runAsync {
            try {
                federation.http.stream("POST", address, CHAT, body, world.headers(organisation))
                    .body().forEach { if (it.isNotBlank()) streamLines += it }
            } catch (exception: java.io.IOException) {
                streamLines += "broken: ${exception.message}"
            } catch (exception: java.io.UncheckedIOException) {
                streamLines += "broken: ${exception.message}"
            }
        }
        Deadline.await(ANSWER_SECONDS, "the stream has begun") { streamLines.size > 2 }
    }

    @Then("the stream ends within {long} seconds without an end marker")
    fun awaitIncompleteStream(seconds: Long) {
        awaitStreamEnd(seconds)
        check("data: [DONE]" !in streamLines) { "the stream has an end marker after ${streamLines.size} lines" }
    }

    @Then("the stream is complete within {long} seconds")
    fun awaitCompleteStream(seconds: Long) {
        awaitStreamEnd(seconds)
        check("data: [DONE]" in streamLines) { "the stream has no end marker: ${streamLines.takeLast(2)}" }
    }

    private fun awaitStreamEnd(seconds: Long) =
        Deadline.await(seconds, "the stream has ended") { checkNotNull(stream).isDone }

    @When("{string} prints label {string} with the key {string} through node {string}")
    fun printLabel(organisation: String, label: String, key: String, vm: String) {
        world.response = federation.http.send(
            method = "POST",
            address = world.callerAddress(vm),
            path = "/labels/$label",
            body = labelBody(label),
            headers = world.headers(organisation) + mapOf("Idempotency-Key" to key),
        )
    }

    /** Retries, because a node responds with 409 until it has read the recorded response. No retry may run. */
    @Then(
        "{string} gets the status {int} for label {string} with the key {string} " +
            "through node {string} within {long} seconds",
    )
    fun awaitLabelStatus(organisation: String, status: Int, label: String, key: String, vm: String, seconds: Long) =
        Deadline.await(seconds, "status $status for label $label") {
            printLabel(organisation, label, key, vm)
            world.response?.statusCode() == status
        }

    @Then("label {string} was printed {int} time(s)")
    fun checkPrintCount(label: String, times: Int) {
        val hash = KeyDirectory.hash(labelBody(label))
        val runs = federation.plan.services.sumOf { service ->
            val body = federation.http.send("GET", service.address, "/runs").body()
            val report = Json.parseToJsonElement(body).jsonObject
            report.getValue("requests").jsonArray
                .map { it.jsonObject }
                .filter { it.getValue("bodySha256").jsonPrimitive.content == hash }
                .sumOf { it.getValue("runs").jsonPrimitive.content.toInt() }
        }
        check(runs == times) { "label $label was printed $runs times instead of $times" }
    }

    @Then("the response has the status {int}")
    fun checkStatus(expected: Int) {
        val response = checkNotNull(world.response)
        check(response.statusCode() == expected) {
            "expected status $expected: ${response.statusCode()} ${response.body()}"
        }
    }

    @Then("the response has the error code {string} and the run status {string}")
    fun checkError(code: String, ran: String) {
        val error = Json.parseToJsonElement(checkNotNull(world.response).body()).jsonObject.getValue("error").jsonObject
        val found = error.getValue("code").jsonPrimitive.content to error.getValue("ran").jsonPrimitive.content
        check(found == code to ran) { "unexpected error $error" }
    }

    @Then("{string} gets the status {int} for a prompt through node {string} within {long} seconds")
    fun awaitStatus(organisation: String, status: Int, vm: String, seconds: Long) =
        Deadline.await(seconds, "status $status for $organisation at $vm") {
            chat(organisation, "seam", vm).statusCode() == status
        }

    @When(
        "{string} sends {int} requests per second for {int} seconds over all nodes, " +
            "and at most {double} are admitted",
    )
    fun flood(organisation: String, rate: Int, seconds: Int, bound: Double) {
        val nodes = federation.plan.nodes.filter { federation.process(it.vm).isAlive }
        val start = System.nanoTime()
        val responses = (0 until rate * seconds).map { index ->
            sleepUntil(start + index * NANOS_PER_SECOND / rate)
            CompletableFuture.supplyAsync { chat(organisation, "n$index", nodes[index % nodes.size].vm).statusCode() }
        }
        val statuses = responses.map { it.join() }
        val admitted = statuses.count { it == HTTP_OK }
        val found = "$admitted requests were admitted, bound $bound: ${statuses.groupingBy { it }.eachCount()}"
        check(statuses.all { it == HTTP_OK || it == HTTP_TOO_MANY_REQUESTS }) { found }
        check(admitted <= bound) { found }
        check(admitted >= bound * MINIMUM_ADMITTED_SHARE) { found }
    }

    private fun sleepUntil(nanos: Long) {
        val millis = (nanos - System.nanoTime()) / NANOS_PER_MILLI
        if (millis > 0) Thread.sleep(millis)
    }

    private fun chat(organisation: String, prompt: String, vm: String) = federation.http.send(
        method = "POST",
        address = world.callerAddress(vm),
        path = CHAT,
        body = """{"model":"writer","max_tokens":4,"messages":[{"role":"user","content":"$prompt"}]}""",
        headers = world.headers(organisation),
    )

    private fun labelBody(label: String) = """{"label":"$label"}"""

    private companion object {
        const val CHAT = "/v1/chat/completions"
        const val ANSWER_SECONDS = 10L
        const val HTTP_OK = 200
        const val HTTP_TOO_MANY_REQUESTS = 429
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MILLI = 1_000_000L

        // Buckets start empty and tokens in transit can be lost, so the admitted requests may stay below the bound.
        const val MINIMUM_ADMITTED_SHARE = 0.5
    }
}
