package org.poplarshift.serving

/** Ports of a started node for callers and for readiness checks, chosen by the system where the settings say 0. */
data class ListeningPorts(val callers: Int, val readiness: Int)
