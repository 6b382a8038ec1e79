package org.poplarshift.verification.soak

import java.io.InputStream
import java.io.OutputStream

/** A process that runs until it is ended. */
class FakeProcess(private val number: Long) : Process() {
    @Volatile
    private var exitCode: Int? = null

    /** Ends the process by itself. */
    fun end() {
        exitCode = CRASHED
    }

    override fun pid(): Long = number

    override fun isAlive(): Boolean = exitCode == null

    override fun exitValue(): Int = exitCode ?: throw IllegalThreadStateException("process $number is running")

    override fun destroy() {
        exitCode = KILLED
    }

    override fun waitFor(): Int = exitValue()

    override fun getOutputStream(): OutputStream = OutputStream.nullOutputStream()

    override fun getInputStream(): InputStream = InputStream.nullInputStream()

    override fun getErrorStream(): InputStream = InputStream.nullInputStream()

    private companion object {
        const val CRASHED = 134
        const val KILLED = 137
    }
}
