package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout

/** Guards against a link without effect, and against faults that no network has: bytes lost or out of order. */
class StoreLinkTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        class Ends {
            val atStore = StringBuilder()
            val atNode = StringBuilder()
            var store: NetSocket? = null
            var isNodeClosed = false
            var port = 0
            lateinit var link: StoreLink
            lateinit var node: NetSocket

            suspend fun open() {
                val server = vertx.createNetServer().connectHandler { socket ->
                    store = socket
                    socket.handler { atStore.append(it) }
                }.listen(0, HOST).coAwait()
                link = StoreLink(vertx, HOST, server.actualPort())
                port = link.listen()
                connect()
            }

            /** Opens a connection and waits until bytes have passed in both directions. */
            suspend fun connect() {
                store = null
                isNodeClosed = false
                atStore.clear()
                atNode.clear()
                node = vertx.createNetClient().connect(port, HOST).coAwait()
                node.handler { atNode.append(it) }
                node.closeHandler { isNodeClosed = true }
                await { store != null }
                write("a")
                await { atStore.toString() == "a" && atNode.toString() == "a" }
            }

            fun write(text: String) {
                node.write(text)
                store!!.write(text)
            }
        }

        data class Case(val name: String, val faults: LinkFaults, val atStore: String, val atNode: String)

        context("bytes that are sent during a fault") {
            withData(
                nameFn = { it.name },
                Case("no fault", LinkFaults(), "ab", "ab"),
                Case("a delay", LinkFaults(delayMillis = 600), "a", "a"),
                Case("cut to the store", LinkFaults(isCutToStore = true), "a", "ab"),
                Case("cut from the store", LinkFaults(isCutFromStore = true), "ab", "a"),
                Case("silence", LinkFaults(isCutToStore = true, isCutFromStore = true), "a", "a"),
            ) { case ->
                withContext(vertx.dispatcher()) {
                    val ends = Ends()
                    ends.open()
                    ends.link.begin(case.faults)
                    ends.write("b")
                    delay(WAIT_MILLIS)
                    ends.atStore.toString() shouldBe case.atStore
                    ends.atNode.toString() shouldBe case.atNode
                    ends.link.end(case.faults)
                    ends.write("c")
                    await { ends.atStore.length == 3 && ends.atNode.length == 3 }
                    ends.atStore.toString() shouldBe "abc"
                    ends.atNode.toString() shouldBe "abc"
                }
            }
        }

        test("a reset closes open connections and lets new ones pass") {
            withContext(vertx.dispatcher()) {
                val ends = Ends()
                ends.open()
                ends.link.begin(LinkFaults(isReset = true))
                await { ends.isNodeClosed }
                ends.connect()
            }
        }

        test("a connection that is opened during a cut reaches the store when the cut ends") {
            withContext(vertx.dispatcher()) {
                var acceptedMillis: Long? = null
                val server = vertx.createNetServer().connectHandler { acceptedMillis = SoakFleet.now() }
                    .listen(0, HOST).coAwait()
                val link = StoreLink(vertx, HOST, server.actualPort())
                val cut = LinkFaults(isCutFromStore = true)
                link.begin(cut)
                vertx.createNetClient().connect(link.listen(), HOST).coAwait()
                delay(WAIT_MILLIS)
                val endMillis = SoakFleet.now()
                link.end(cut)
                await { acceptedMillis != null }
                acceptedMillis!! shouldBeGreaterThanOrEqual endMillis
            }
        }
    }) {
    private companion object {
        const val HOST = "127.0.0.1"
        const val WAIT_MILLIS = 200L
        const val AWAIT_MILLIS = 5_000L
        const val POLL_MILLIS = 5L

        suspend fun await(condition: () -> Boolean) = withTimeout(AWAIT_MILLIS) {
            while (!condition()) delay(POLL_MILLIS)
        }
    }
}
