package org.poplarshift.ports

/** The platform's list of VMs. It lags behind what happens. */
interface VmList {
    /** Reads the list. */
    suspend fun read(): VmListResult
}
