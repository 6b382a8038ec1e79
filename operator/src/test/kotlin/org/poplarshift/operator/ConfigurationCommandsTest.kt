package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.ports.HttpLogService
import org.poplarshift.ports.ReadResult
import org.poplarshift.standins.http.Outage
import org.poplarshift.standins.platform.PlatformFaults
import org.poplarshift.standins.platform.PlatformStandIn
import kotlin.io.path.readText

/**
 * Guards against lost updates when two operators publish concurrently, plain-text keys in the log, and retried appends
 * that take effect twice.
 */
class ConfigurationCommandsTest :
    FunSpec({
        timeout = 60_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun withPlatform(block: suspend (PlatformStandIn, String) -> Unit) {
            val platform = PlatformStandIn(vertx)
            platform.start()
            try {
                block(platform, "--platform=127.0.0.1:${platform.port}")
            } finally {
                platform.stop()
            }
        }

        suspend fun records(platform: PlatformStandIn) =
            HttpLogService(WebClient.create(vertx), "127.0.0.1:${platform.port}", 10_000)
                .read("configuration", 0, 100).shouldBeInstanceOf<ReadResult.Records>().records

        fun publish(platformOption: String, basedOn: Int, file: String = "${TestCatalogue.file()}") =
            CommandRun.of("catalogue", "publish", platformOption, "--based-on=$basedOn", file)

        test("the second of two operators gets the version of the first and its file is unchanged") {
            withPlatform { _, platformOption ->
                publish(platformOption, basedOn = -1).exitCode shouldBe 0
                val file = TestCatalogue.file { it.replace("\"burst\":10.0", "\"burst\":20.0") }
                val before = file.readText()
                val second = publish(platformOption, basedOn = -1, "$file")
                second.exitCode shouldBe 3
                second.err shouldContain "version 0"
                file.readText() shouldBe before
                val difference = CommandRun.of("catalogue", "diff", platformOption, "$file")
                difference.out shouldContain "version in force: 0"
                difference.out shouldContain "~ organisations[shop].burst: 10.0 -> 20.0"
                publish(platformOption, basedOn = 0, "$file").exitCode shouldBe 0
                CommandRun.of("catalogue", "show", platformOption).out shouldContain "\"burst\": 20.0"
            }
        }

        listOf(
            "whose response is lost" to PlatformFaults(lostAppendResponses = 1),
            "whose response is delayed" to PlatformFaults(appendDelayMillis = 4_000),
        ).forEach { (name, faults) ->
            test("an append $name takes effect once") {
                withPlatform { platform, platformOption ->
                    platform.applyFaults(faults)
                    publish(platformOption, basedOn = -1).exitCode shouldBe 0
                    records(platform).size shouldBe 1
                }
            }
        }

        test("a refused append ends with exit code 1") {
            withPlatform { platform, platformOption ->
                platform.applyFaults(PlatformFaults(logOutage = Outage.REFUSE))
                publish(platformOption, basedOn = -1).exitCode shouldBe 1
            }
        }

        test("a key is printed once, only its hash is stored, and it can be withdrawn") {
            withPlatform { platform, platformOption ->
                publish(platformOption, basedOn = -1)
                val key = CommandRun.of("key", "give", platformOption, "--key-id=k", "shop").out.trim()
                key shouldStartWith "psk_"
                key.length shouldBe 47
                val log = records(platform).joinToString { it.record }
                log shouldNotContain key
                log shouldContain KeyDirectory.hash(key)
                CommandRun.of("key", "list", platformOption).out shouldContain "k\tshop"
                CommandRun.of("key", "give", platformOption, "nobody").exitCode shouldBe 1
                CommandRun.of("key", "withdraw", platformOption, "k").exitCode shouldBe 0
                CommandRun.of("key", "list", platformOption).out shouldBe ""
                CommandRun.of("key", "withdraw", platformOption, "k").exitCode shouldBe 1
            }
        }

        test("usage errors exit with code 2, --help with code 0, and --version prints the version") {
            CommandRun.of("catalogue", "publish").exitCode shouldBe 2
            CommandRun.of("--help").exitCode shouldBe 0
            CommandRun.of("key", "give", "--help").exitCode shouldBe 0
            CommandRun.of("--version").out shouldStartWith "poplarshift "
        }
    })
