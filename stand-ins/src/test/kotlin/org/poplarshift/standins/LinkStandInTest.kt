package org.poplarshift.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.standins.link.LinkFaults
import org.poplarshift.standins.link.LinkSettings
import org.poplarshift.standins.link.LinkStandIn
import org.poplarshift.standins.service.ServiceSettings
import org.poplarshift.standins.service.ServiceStandIn
import kotlin.time.measureTime

/** Guards against a link that forwards bytes during a partition, or that stays interrupted after the faults end. */
class LinkStandInTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class Case(val name: String, val faults: LinkFaults, val isForwarded: Boolean)

        listOf(
            Case("silent", LinkFaults(isSilent = true), false),
            Case("silent for this source", LinkFaults(silentSources = listOf("127.0.0.")), false),
            Case("silent for another source", LinkFaults(silentSources = listOf("127.0.3.")), true),
            Case("refusing", LinkFaults(isRefusing = true), false),
            Case("slow", LinkFaults(delayMillis = 50), true),
        ).forEach { case ->
            test("a link that is ${case.name} ${if (case.isForwarded) "forwards" else "does not forward"} a request") {
                val service = ServiceStandIn(vertx, ServiceSettings("s")).also { it.start() }
                val link = LinkStandIn(vertx, LinkSettings("l", "127.0.0.1:${service.port}")).also { it.start() }
                val client = WebClient.create(vertx)
                suspend fun forwards(millis: Long) = runCatching {
                    client.get(link.port, "127.0.0.1", "/x").timeout(millis).send().coAwait().statusCode() == 200
                }.getOrDefault(false)
                forwards(10_000) shouldBe true
                link.applyFaults(case.faults)
                if (case.faults.isRefusing) link.applyFaults(case.faults.copy(cutEstablished = true))
                val duration = measureTime { forwards(if (case.isForwarded) 10_000 else 300) shouldBe case.isForwarded }
                duration.inWholeMilliseconds shouldBeGreaterThanOrEqual 2 * case.faults.delayMillis
                link.applyFaults(LinkFaults())
                forwards(10_000) shouldBe true
                link.stop()
                service.stop()
            }
        }
    })
