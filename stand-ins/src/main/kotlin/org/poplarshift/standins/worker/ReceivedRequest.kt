package org.poplarshift.standins.worker

import io.vertx.core.MultiMap

/** A request as a worker has received it. */
class ReceivedRequest(val method: String, val uri: String, val headers: MultiMap, val body: ByteArray)
