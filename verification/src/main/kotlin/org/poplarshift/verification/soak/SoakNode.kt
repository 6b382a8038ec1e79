package org.poplarshift.verification.soak

import org.poplarshift.standins.vm.VmProcess
import org.poplarshift.standins.vm.VmSettings

/** A node of the soak and its [link] to the store. */
class SoakNode(val settings: VmSettings, val process: VmProcess, val link: StoreLink) {
    val name: String
        get() = settings.name

    /** Whether the balancer sends new connections here. */
    var isReady = false

    /** Time at which SIGTERM was sent, until the process has started again; monotonic milliseconds. */
    var terminatedMillis: Long? = null

    /** Whether the process was killed or asked to end since it was started. */
    var isEndExpected = false

    /** Whether the process must not be started again now. */
    var isHeldDown = false
}
