package org.poplarshift.ports

/** The platform's list of VMs. Changes appear in it with a delay. */
interface VmList {
    /** Reads the list. */
    suspend fun read(): VmListResult
}
