package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * One process of an upstream.
 *
 * @property address IP number and port, such as `127.0.0.1:8101`
 * @property capacity concurrent requests
 */
@Serializable
data class Worker(val id: String, val address: String, val zone: String, val capacity: Int)
