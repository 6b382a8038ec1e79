package org.poplarshift.verification.scenario

import java.io.File
import java.util.concurrent.TimeUnit

/**
 * Runs a main class of this repository in a separate JVM with the class path of the tests. The output is written to
 * `target/scenarios/<name>.log`.
 */
class JavaProcess(val name: String, mainClass: String, arguments: List<String>, heapMegabytes: Int) {
    val logFile = File("target/scenarios/$name.log").apply { parentFile.mkdirs() }

    private val process: Process = ProcessBuilder(command(mainClass, arguments, heapMegabytes))
        .redirectErrorStream(true)
        .redirectOutput(logFile)
        .start()

    val isAlive: Boolean get() = process.isAlive

    /** Kills the process with SIGKILL, which simulates the loss of a VM. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGTERM, as a rolling replacement does. */
    fun terminate() = process.destroy()

    /** Suspends the process with SIGSTOP. Its connections stay open. */
    fun pause() = signal("STOP")

    /** Resumes a suspended process with SIGCONT. */
    fun resume() = signal("CONT")

    /** Waits for the process to exit and returns its exit code, or null if it is still running after [seconds]. */
    fun exitCode(seconds: Long): Int? = if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    private fun signal(signalName: String) {
        ProcessBuilder("kill", "-$signalName", "${process.pid()}").start().waitFor()
    }

    private fun command(mainClass: String, arguments: List<String>, heapMegabytes: Int): List<String> = listOf(
        File(System.getProperty("java.home"), "bin/java").path,
        "-Xmx${heapMegabytes}m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
        mainClass,
    ) + arguments

    private companion object {
        const val EXIT_SECONDS = 10L
    }
}
