package org.poplarshift.verification.scenario

/** Waits for conditions; a scenario never sleeps for a fixed time to get a result. */
object Deadline {
    private const val POLL_MILLIS = 50L

    /** Waits until [condition] holds and fails with [description] after [seconds]. */
    fun await(seconds: Long, description: String, condition: () -> Boolean) {
        awaitValue(seconds, description) { if (condition()) Unit else null }
    }

    /** Waits until [value] is not null and fails with [description] after [seconds]. */
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
        throw AssertionError("not within $seconds s: $description", failure)
    }
}
