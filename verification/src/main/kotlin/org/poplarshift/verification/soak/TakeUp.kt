package org.poplarshift.verification.soak

/**
 * The resumption of the stream that [beginning] has begun.
 *
 * @property servingWorkers number of workers of the stream's software version that served when the call was sent
 */
class TakeUp(val beginning: SentCall, val servingWorkers: Int)
