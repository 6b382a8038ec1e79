package org.poplarshift.node.batch

import org.poplarshift.core.catalogue.Upstream

/**
 * Where an item runs.
 *
 * @property path the path at the upstream
 * @property fingerprint SHA-256 of organisation and canonical body, as for online requests
 */
data class ItemTarget(
    val upstream: Upstream,
    val path: String,
    val isIdempotent: Boolean,
    val costTokens: Long,
    val fingerprint: String,
)
