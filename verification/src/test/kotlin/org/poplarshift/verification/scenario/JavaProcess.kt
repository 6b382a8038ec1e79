package org.poplarshift.verification.scenario

import java.io.File
import java.util.concurrent.TimeUnit

/**
 * A program of this repository in a JVM of its own, with the class path of the tests. Its output goes to
 * `target/scenarios/<name>.log`.
 */
class JavaProcess(val name: String, mainClass: String, arguments: List<String>, heapMegabytes: Int) {
    val logFile = File("target/scenarios/$name.log").apply { parentFile.mkdirs() }

    private val process: Process = ProcessBuilder(command(mainClass, arguments, heapMegabytes))
        .redirectErrorStream(true)
        .redirectOutput(logFile)
        .start()

    val isAlive: Boolean get() = process.isAlive

    /** Ends the process without notice, as the loss of a VM does. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Asks the process to shut down, as a rolling replacement does. */
    fun terminate() = process.destroy()

    /** Stops all threads of the process; connections stay open. */
    fun pause() = signal("STOP")

    /** Continues a paused process. */
    fun resume() = signal("CONT")

    /** Waits for the end and returns the exit code, or null when the process still runs after [seconds]. */
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
