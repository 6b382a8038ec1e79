package org.poplarshift.core.orders

import kotlinx.serialization.Serializable

/**
 * An order to one worker.
 *
 * @property fencingToken the offset of the issuer's slot claim; an engine that checks it rejects smaller ones
 */
@Serializable
data class Order(val worker: String, val desired: DesiredState, val fencingToken: Long)
