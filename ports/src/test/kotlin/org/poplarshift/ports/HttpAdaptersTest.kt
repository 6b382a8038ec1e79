package org.poplarshift.ports

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import java.net.ServerSocket
import kotlin.reflect.KClass

/** Guards against an append that is reported as refused but took effect, and against requests without a timeout. */
class HttpAdaptersTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx)
        afterSpec { vertx.close().coAwait() }

        suspend fun <T> withServer(handler: (HttpServerRequest) -> Unit, block: suspend (String) -> T): T {
            val server = vertx.createHttpServer().requestHandler(handler).listen(0, "127.0.0.1").coAwait()
            return try {
                block("127.0.0.1:${server.actualPort()}")
            } finally {
                server.close().coAwait()
            }
        }

        // The first request in a cold JVM took over 300 ms, so only the missing response has a short deadline.
        data class Case(
            val name: String,
            val expected: KClass<out AppendResult>,
            val deadlineMillis: Long = 10_000,
            val handler: (HttpServerRequest) -> Unit,
        )

        listOf(
            Case("status 200 means appended", AppendResult.Appended::class) { it.response().end("""{"offset":7}""") },
            Case("status 503 means refused", AppendResult.Refused::class) { it.response().setStatusCode(503).end() },
            Case("status 413 means refused", AppendResult.Refused::class) { it.response().setStatusCode(413).end() },
            Case("status 500 means unknown", AppendResult.Unknown::class) { it.response().setStatusCode(500).end() },
            Case("a lost connection means unknown", AppendResult.Unknown::class) { it.connection().close() },
            Case("a missing response means unknown", AppendResult.Unknown::class, deadlineMillis = 300) { },
            Case("a truncated response means unknown", AppendResult.Unknown::class) { it.response().end("{") },
        ).forEach { case ->
            test("append: ${case.name}") {
                withServer(case.handler) { address ->
                    HttpLogService(client, address, case.deadlineMillis).append("batch", "{}")::class shouldBe
                        case.expected
                }
            }
        }

        test("append: a refused connection means refused") {
            val closedPort = ServerSocket(0).use { it.localPort }
            HttpLogService(client, "127.0.0.1:$closedPort").append("batch", "{}")
                .shouldBeInstanceOf<AppendResult.Refused>()
        }

        test("a read returns records, and its deadline includes the wait time") {
            val body = """{"records":[{"offset":3,"record":"r"}],"nextOffset":4,"retentionStart":2}"""
            val delayed: (HttpServerRequest) -> Unit = { request ->
                vertx.setTimer(400) { request.response().end(body) }
            }
            withServer(delayed) { address ->
                val log = HttpLogService(client, address, deadlineMillis = 200)
                log.read("batch", 3, 10, waitMillis = 5_000) shouldBe
                    ReadResult.Records(listOf(LogRecord(3, "r")), nextOffset = 4, retentionStart = 2)
                log.read("batch", 3, 10).shouldBeInstanceOf<ReadResult.Unavailable>()
            }
        }

        test("the VM list and the weight store map each response to a result") {
            val vms = """{"vms":[{"vm":"a","availabilityZone":"z","peerAddress":"127.0.0.1:1","state":"leaving"}]}"""
            withServer({ it.response().end(vms) }) { address ->
                HttpVmList(client, address).read() shouldBe
                    VmListResult.Vms(listOf(ListedVm("a", "z", "127.0.0.1:1", VmState.LEAVING)))
                HttpWeightStore(client, address).reserveLoad("m") shouldBe WeightStoreResult.Granted
            }
            val limited: (HttpServerRequest) -> Unit = {
                it.response().setStatusCode(429).putHeader("Retry-After", "2").end()
            }
            withServer(limited) { address ->
                HttpVmList(client, address).read().shouldBeInstanceOf<VmListResult.Unavailable>()
                HttpWeightStore(client, address).reserveLoad("m") shouldBe WeightStoreResult.RateLimited(2_000)
            }
        }
    })
