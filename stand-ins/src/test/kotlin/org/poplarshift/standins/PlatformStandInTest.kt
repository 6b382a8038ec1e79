package org.poplarshift.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.HttpLogService
import org.poplarshift.ports.HttpVmList
import org.poplarshift.ports.HttpWeightStore
import org.poplarshift.ports.ReadResult
import org.poplarshift.ports.VmListResult
import org.poplarshift.ports.WeightStoreResult
import org.poplarshift.standins.http.Outage
import org.poplarshift.standins.platform.PlatformFaults
import org.poplarshift.standins.platform.PlatformSettings
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.standins.platform.Vm
import kotlin.time.Duration.Companion.seconds

/** Verifies that the faults of the platform stand-in match its settings. Other tests depend on them. */
class PlatformStandInTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx)
        afterSpec { vertx.close().coAwait() }

        suspend fun withPlatform(
            faults: PlatformFaults = PlatformFaults(),
            vms: List<Vm> = emptyList(),
            block: suspend (PlatformStandIn, HttpLogService) -> Unit,
        ) {
            val platform = PlatformStandIn(vertx, PlatformSettings(faults = faults, vms = vms))
            platform.start()
            try {
                block(platform, HttpLogService(client, "127.0.0.1:${platform.port}", deadlineMillis = 10_000))
            } finally {
                platform.stop()
            }
        }

        suspend fun HttpLogService.records(from: Long = 0, waitMillis: Long = 0) =
            read("s", from, 100, waitMillis).shouldBeInstanceOf<ReadResult.Records>()

        data class Case(
            val name: String,
            val faults: PlatformFaults,
            val isAppended: Boolean,
            val outcome: String,
            val isResponseExpected: Boolean = true,
        )

        listOf(
            Case("no fault", PlatformFaults(), true, "Appended"),
            Case("refused", PlatformFaults(logOutage = Outage.REFUSE), false, "Refused"),
            Case("connection dropped", PlatformFaults(logOutage = Outage.DROP), false, "Unknown"),
            Case("silent", PlatformFaults(logOutage = Outage.SILENT), false, "Unknown", isResponseExpected = false),
            Case("other stream down", PlatformFaults(Outage.REFUSE, logOutageStreams = listOf("t")), true, "Appended"),
            Case("lost response", PlatformFaults(lostAppendResponses = 1), true, "Unknown"),
            Case("every response lost", PlatformFaults(lostAppendShare = 1.0), true, "Unknown"),
            Case("late response", PlatformFaults(appendDelayMillis = 900), true, "Unknown", isResponseExpected = false),
            Case("append rate of zero", PlatformFaults(appendsPerSecond = 0.0), true, "Appended"),
            Case(
                "partitioned",
                PlatformFaults(partitionedSources = listOf("127.0.0.1")),
                false,
                "Unknown",
                isResponseExpected = false,
            ),
        ).forEach { case ->
            test("append has the expected outcome: ${case.name}") {
                withPlatform(case.faults) { platform, log ->
                    val deadlineMillis = if (case.isResponseExpected) 10_000L else 500L
                    HttpLogService(
                        client,
                        "127.0.0.1:${platform.port}",
                        deadlineMillis,
                    ).append("s", "r")::class.simpleName shouldBe
                        case.outcome
                    platform.applyFaults(PlatformFaults())
                    log.records().records.map { it.record } shouldBe if (case.isAppended) listOf("r") else emptyList()
                }
            }
        }

        test("appends beyond the append rate are refused") {
            withPlatform(PlatformFaults(appendsPerSecond = 4.0)) { _, log ->
                val results = List(5) { log.append("s", "$it") }
                results.count { it is AppendResult.Appended } shouldBe 2
                results.count { it is AppendResult.Refused } shouldBe 3
            }
        }

        test("retention drops the oldest records and keeps the offsets of the others") {
            withPlatform(PlatformFaults(retentionRecords = 2)) { platform, log ->
                repeat(5) { log.append("s", "$it") }
                val kept = log.records()
                kept.records.map { it.offset } shouldBe listOf(3L, 4L)
                kept.retentionStart shouldBe 3
                platform.applyFaults(PlatformFaults(retentionMillis = 0))
                eventually(2.seconds) { log.records() shouldBe ReadResult.Records(emptyList(), 5, 5) }
            }
        }

        test("a long-polling read waits for the next record") {
            withPlatform { _, log ->
                val waiting = async { log.records(from = 0, waitMillis = 5_000) }
                log.append("s", "r")
                waiting.await().nextOffset shouldBe 1
            }
        }

        test("the VM list is delayed, and weight store reservations are rate limited") {
            val vms = listOf(Vm("a", "z", "127.0.0.1:1"))
            withPlatform(vms = vms) { platform, _ ->
                val address = "127.0.0.1:${platform.port}"
                suspend fun names() =
                    HttpVmList(client, address).read().shouldBeInstanceOf<VmListResult.Vms>().vms.map { it.vm }
                platform.applyFaults(PlatformFaults(vmListLagMillis = 60_000))
                client.put(platform.port, "127.0.0.1", "/vms").sendBuffer(
                    io.vertx.core.buffer.Buffer.buffer("""{"vms":[]}"""),
                ).coAwait().statusCode() shouldBe 200
                names() shouldBe listOf("a")
                platform.applyFaults(PlatformFaults())
                eventually(2.seconds) { names() shouldBe emptyList() }
                HttpWeightStore(client, address).reserveLoad("m") shouldBe WeightStoreResult.Granted
                HttpWeightStore(client, address).reserveLoad("m") shouldBe WeightStoreResult.RateLimited(1_000)
            }
        }
    })
