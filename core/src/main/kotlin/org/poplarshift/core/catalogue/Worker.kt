package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * One process of an upstream.
 *
 * @property address the IP address and port, such as `127.0.0.1:8101`
 * @property capacity the maximum number of concurrent requests
 */
@Serializable
data class Worker(val id: String, val address: String, val zone: String, val capacity: Int)
