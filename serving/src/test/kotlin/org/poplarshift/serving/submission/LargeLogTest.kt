package org.poplarshift.serving.submission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.LargeLogProgram
import java.io.File
import java.util.concurrent.TimeUnit

/** Guards against nodes that can't start, and submissions that can't be read, because a log exceeds their memory. */
class LargeLogTest :
    FunSpec({
        test("a node with a heap of 96 MB starts from a log with 126 MB of bodies and reads them all") {
            val output = File.createTempFile("large-log", ".txt")
            val process = ProcessBuilder(
                File(System.getProperty("java.home"), "bin/java").path,
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
                LargeLogProgram::class.java.name,
                "34",
                "200",
                "18500",
            ).redirectErrorStream(true).redirectOutput(output).start()
            try {
                process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                withClue(output.readText()) { process.exitValue() shouldBe 0 }
            } finally {
                process.destroyForcibly()
                output.delete()
            }
        }
    }) {
    private companion object {
        const val LIMIT_SECONDS = 100L
    }
}
