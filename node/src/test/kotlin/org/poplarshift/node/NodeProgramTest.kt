package org.poplarshift.node

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.poplarshift.node.fixture.Fleet
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against wrong exit codes, signals that end the program, and settings that are validated after the node listens. */
class NodeProgramTest :
    FunSpec({
        val settingsFile = tempfile(suffix = ".json")

        fun start(vararg arguments: String): Process = ProcessBuilder(
            listOf(
                "java",
                "-Xmx256m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.poplarshift.node.NodeMainKt",
            ) +
                arguments,
        ).redirectErrorStream(true).start()

        fun Process.exitCode(): Int {
            check(waitFor(20, TimeUnit.SECONDS)) { "the program did not exit within 20 s" }
            return exitValue()
        }

        fun write(callersAddress: String, peersAddress: String) = settingsFile.writeText(
            """{"vm":"v","availabilityZone":"z","callersAddress":"$callersAddress","peersAddress":"$peersAddress",
            "platform":{"logAddress":"127.0.0.1:9","vmListAddress":"127.0.0.1:9","weightStoreAddress":"127.0.0.1:9"},
            "shutdown":{"listLagMillis":100}}""",
        )

        test("help and version exit with 0, wrong usage and invalid settings with 2") {
            start("--help").exitCode() shouldBe 0
            start("--version").exitCode() shouldBe 0
            start("--setting", "x").exitCode() shouldBe 2
            settingsFile.writeText("""{"vm":"v"}""")
            val process = start("--settings", settingsFile.path)
            val output = process.inputStream.reader().readText()
            process.exitCode() shouldBe 2
            output shouldContain "${settingsFile.path}: callersAddress: found no value, expected a value"
        }

        test("the program exits with 1 if an address is in use") {
            Fleet().use { fleet ->
                val node = fleet.node()
                write(node.callersAddress, node.peersAddress)
                start("--settings", settingsFile.path).exitCode() shouldBe 1
            }
        }

        test("SIGHUP neither ends the serving program nor its shutdown") {
            val readiness = Fleet.freeAddress()
            settingsFile.writeText(
                """{"name":"n","zone":"z","host":"127.0.0.1","processorShare":1.0,"processorSpeed":1.0,
                "callers":"${Fleet.freeAddress()}","readiness":"$readiness",
                "firstFreePort":${Fleet.freeAddress().substringAfter(':')},
                "retentionSeconds":120,"shutdownSeconds":4,
                "log":{"address":"127.0.0.1:9","recordBytes":1000,"callBytes":2000,"partitions":4,
                "shortestMembershipMillis":1000}}""",
            )
            val process = start("serve", "--settings", settingsFile.path)
            fun signal(name: String) = ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
            eventually(20.seconds) { Socket("127.0.0.1", readiness.substringAfter(':').toInt()).close() }
            repeat(20) { signal("HUP") }
            process.waitFor(1, TimeUnit.SECONDS) shouldBe false
            signal("TERM")
            repeat(5) { signal("HUP") }
            process.exitCode() shouldBe 0
            process.inputStream.reader().readText() shouldContain "settings: read again"
        }

        // Guards against the JVM's exit code 143 until the shutdown hook is added, which takes seconds on a busy machine.
        test("the serving program exits with 0 after SIGTERM while it reads its settings") {
            val pipe = tempdir().resolve("settings")
            ProcessBuilder("mkfifo", pipe.path).start().waitFor() shouldBe 0
            val process = start("serve", "--settings", pipe.path)
            // Opening the pipe waits until the program reads it.
            pipe.outputStream().use {
                process.destroy()
                process.exitCode() shouldBe 0
            }
        }

        test("the program exits with 0 after SIGTERM") {
            val peersAddress = Fleet.freeAddress()
            write(Fleet.freeAddress(), peersAddress)
            val process = start("--settings", settingsFile.path)
            eventually(20.seconds) { Socket("127.0.0.1", peersAddress.substringAfter(':').toInt()).close() }
            process.destroy()
            process.exitCode() shouldBe 0
        }
    })
