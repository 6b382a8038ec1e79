package org.poplarshift.verification.scenario

/** Polls conditions up to a time limit, so that no scenario depends on a fixed sleep. */
object Deadline {
    private const val POLL_MILLIS = 50L

    /** Waits until [condition] holds. Fails with [description] after [seconds]; retries on an I/O error. */
    fun await(seconds: Long, description: String, condition: () -> Boolean) {
        awaitValue(seconds, description) { if (condition()) Unit else null }
    }

    /** Waits until [value] is not null. Fails with [description] after [seconds]; retries on an I/O error. */
    fun <T : Any> awaitValue(seconds: Long, description: String, value: () -> T?): T {
        val end = System.nanoTime() + seconds * 1_000_000_000
        var failure: Exception? = null
        while (System.nanoTime() < end) {
            try {
                value()?.let { return it }
            } catch (exception: java.io.IOException) {
                failure = exception
            }
            Thread.sleep(POLL_MILLIS)
        }
        throw AssertionError("timed out after $seconds s waiting for: $description", failure)
    }
}
