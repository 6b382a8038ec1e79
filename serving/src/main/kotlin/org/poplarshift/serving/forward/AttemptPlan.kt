package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.serving.quarantine.RequestFingerprint

/**
 * The parts of a request that are the same in all its attempts.
 *
 * @property deadlineMillis monotonic time in milliseconds after which the response is no longer needed
 * @property maximumAttempts maximum number of workers that may run the request
 * @property mayRepeat whether the request goes on at another worker when one may have run it
 * @property mayCrashWorkers whether the request may be the cause when workers crash while they run it, so that it is
 *   refused after several crashes
 * @property route name of the route, or null
 * @property allowedRegions regions whose workers may get the request, or null for all
 * @property isRateLimited whether the request needs a token of its organisation's rate limit
 */
class AttemptPlan(
    val id: String,
    val service: String,
    val organisation: String?,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val deadlineMillis: Long,
    val maximumAttempts: Int,
    val mayRepeat: Boolean,
    val mayCrashWorkers: Boolean = true,
    val route: String? = null,
    val isRateLimited: Boolean = false,
    val allowedRegions: Set<String>? = null,
) {
    /** Identifies the request when it is repeated with another id. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) { RequestFingerprint.of(organisation, uri, body) }
}
