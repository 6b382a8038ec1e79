package org.poplarshift.standins.vm

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.poplarshift.standins.http.monotonicMillis
import java.io.File
import java.util.concurrent.TimeUnit

/**
 * The process of a node, started and stopped as the users' platform does it.
 *
 * [close] may be called on any thread, everything else on one.
 *
 * @property launch starts a process; tests replace it
 */
class VmProcess(
    private val settings: VmSettings,
    private val programFile: File,
    private val launch: (ProcessBuilder) -> Process = ProcessBuilder::start,
) : AutoCloseable {
    private val settingsFile = File(settings.directory, "${settings.name}.json").apply { writeText(settingsText()) }
    private val logFile = File(settings.directory, "${settings.name}.log")

    @Volatile
    private var process: Process? = null
    private var isClosed = false

    /** Time of the last start, in monotonic milliseconds. */
    var startedMillis = Long.MIN_VALUE
        private set

    val isAlive: Boolean
        get() = process?.isAlive == true

    /** Id of the last process, or null before the first start. */
    val pid: Long?
        get() = process?.pid()

    /** Exit code of the last process, or null while it runs. */
    val exitCode: Int?
        get() = process?.takeUnless { it.isAlive }?.exitValue()

    /** Starts the process unless this is closed. Its log is appended to that of the one before. */
    @Synchronized
    fun start() {
        if (isClosed) return
        val builder = ProcessBuilder(command())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
        builder.environment()["POPLARSHIFT_BOOT"] = settingsFile.path
        process = launch(builder)
        startedMillis = monotonicMillis()
    }

    /** Sends the signal [name], such as `TERM`. */
    fun signal(name: String) {
        val current = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$name", "${current.pid()}").start().waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGKILL and waits for the end of the process. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS)
    }

    /** Kills the process for good. Waits for a start in progress, so that no process is left. */
    @Synchronized
    override fun close() {
        isClosed = true
        kill()
    }

    private fun command(): List<String> {
        val limit =
            settings.descriptors?.let { listOf("/bin/sh", "-c", "ulimit -n $it && exec \"\$@\"", "sh") }.orEmpty()
        val processors = settings.processors?.let { listOf("-XX:ActiveProcessorCount=$it") }.orEmpty()
        return limit + COMMAND + processors + settings.options + listOf("-jar", programFile.path, "serve")
    }

    private fun settingsText(): String = buildJsonObject {
        put("name", settings.name)
        put("zone", settings.zone)
        put("host", settings.host)
        put("processorShare", 1.0)
        put("processorSpeed", 1.0)
        put("callers", "${settings.host}:${settings.callersPort}")
        put("readiness", "${settings.host}:${settings.readinessPort}")
        put("firstFreePort", settings.firstPort + 2)
        put("retentionSeconds", 120)
        put("shutdownSeconds", 8)
        putJsonObject("log") {
            put("address", settings.storeAddress)
            put("recordBytes", 262_144)
            put("callBytes", 2_097_152)
            put("partitions", 8)
            put("shortestMembershipMillis", 1_000)
        }
    }.toString()

    private companion object {
        const val SIGNAL_SECONDS = 5L

        // The options of deploy/system.toml that matter for memory and threads.
        val COMMAND = listOf(
            File(System.getProperty("java.home"), "bin/java").path,
            "-Xms24m",
            "-Xmx96m",
            "-XX:MaxDirectMemorySize=32m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.allocator.numHeapArenas=0",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.maxOrder=4",
            "-Dvertx.disableDnsResolver=true",
        )
    }
}
