package org.poplarshift.node.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against unresponsive pooled connections, each of which would cost one request the full timeout. */
class SilentConnectionTest :
    FunSpec({
        test("after one timeout the other connections to the worker are not reused") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                val waiting = CopyOnWriteArrayList<HttpServerRequest>()
                val silent = ConcurrentHashMap.newKeySet<HttpConnection>()
                engine.answer = { waiting += it }
                coroutineScope {
                    val calls = List(4) { async(Dispatchers.IO) { node.complete(key).statusCode() } }
                    while (waiting.size < calls.size) delay(5)
                    silent += waiting.map { it.connection() }
                    waiting.forEach { FakeWorker.echo(it) }
                    calls.awaitAll() shouldBe List(4) { 200 }
                }
                silent.size shouldBe 4

                engine.answer = { if (it.connection() !in silent) FakeWorker.echo(it) }
                node.complete(key).statusCode() shouldBe 504
                List(4) { node.complete(key).statusCode() } shouldBe List(4) { 200 }
            }
        }
    })
