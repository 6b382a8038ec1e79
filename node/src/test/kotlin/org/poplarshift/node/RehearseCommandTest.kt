package org.poplarshift.node

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.SocketChannel
import kotlin.concurrent.thread

/** Guards against a build that fails by chance, because it runs the rehearsal. */
class RehearseCommandTest :
    FunSpec({
        // Vert.x closes a client that the collector finds unreachable, and with it the connections that it is making.
        test("a garbage collection while a connection is made ends no request of a rehearsal") {
            val loopback = InetAddress.getLoopbackAddress()
            ServerSocket(0, BACKLOG, loopback).use { server ->
                // The system ignores a further connection until these are accepted.
                val waiting = List(BACKLOG + 1) { Socket(loopback, server.localPort) }
                fun collectThenServe() {
                    repeat(COLLECTIONS) {
                        System.gc()
                        Thread.sleep(COLLECTION_PAUSE_MILLIS)
                    }
                    waiting.forEach { _ -> server.accept().close() }
                    server.accept().use {
                        it.getInputStream().read()
                        it.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
                        it.shutdownOutput()
                        it.getInputStream().readAllBytes()
                    }
                }
                val result = Rehearsal {
                    thread(isDaemon = true) { collectThenServe() }
                    listOf(server.localPort)
                }.run()
                waiting.forEach { it.close() }
                result.shouldBeInstanceOf<RehearsalResult.Started>().failures.shouldBeEmpty()
            }
        }

        test("rehearsals at the same time start and get all responses") {
            val results = coroutineScope {
                List(REHEARSALS) { async(Dispatchers.IO) { Rehearsal().run() } }.awaitAll()
            }
            results.forEach { it.shouldBeInstanceOf<RehearsalResult.Started>().failures.shouldBeEmpty() }
        }

        test("the system chooses each port of a rehearsal when the node binds it") {
            val settings = Rehearsal.servingSettings(Rehearsal.settings(logPort = 1))
            listOf(
                settings.callersAddress,
                settings.readinessAddress,
                settings.peerAddress,
                settings.metricsAddress,
            ).toSet() shouldBe setOf("127.0.0.1:0")
        }

        test("a rehearsal whose requests fail says so, and the build goes on") {
            SocketChannel.open().use { refusing ->
                refusing.bind(InetSocketAddress("127.0.0.1", 0))
                val rehearsal = Rehearsal { ports -> listOf(refusing.socket().localPort, ports.readiness) }
                rehearsal.run().shouldBeInstanceOf<RehearsalResult.Started>().failures shouldHaveSize 1
                RehearseCommand(rehearsal).call() shouldBe 0
            }
        }
    }) {
    private companion object {
        const val REHEARSALS = 8
        const val BACKLOG = 1
        const val COLLECTIONS = 5

        // Time for Vert.x to close what the collector has found.
        const val COLLECTION_PAUSE_MILLIS = 100L
    }
}
