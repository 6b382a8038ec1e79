package org.poplarshift.verification.soak

import java.io.File

/**
 * Settings of one soak.
 *
 * @property seed determines the faults and the requests, not the exact times at which the processes act
 * @property seconds time for which faults are injected
 * @property secondResponses share of the requests that workers answer twice during the whole soak
 * @property processors number of processors that each node uses, or null for all
 * @property directory where settings, logs and the report are written
 * @property program the program of a node
 */
data class SoakSettings(
    val seed: Long,
    val seconds: Int,
    val nodes: Int,
    val directory: File,
    val program: File,
    val secondResponses: Double = 0.0,
    val processors: Int? = null,
)
