package org.poplarshift.node.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.ports.VmListResult.Unavailable
import org.poplarshift.ports.VmListResult.Vms

/** Polls the platform's list of VMs every [periodMillis]. The last list stays in use while the platform is down. */
class VmListReader(
    private val context: NodeContext,
    private val directory: DefaultPeerDirectory,
    private val periodMillis: Long = 1_000,
) : NodePart {
    override suspend fun start() {
        context.scope.launch {
            while (isActive) {
                when (val result = context.vmList.read()) {
                    is Vms -> directory.onVmList(result.vms)
                    is Unavailable -> log.debug { "peers: VM list unavailable, last one is kept: ${result.reason}" }
                }
                delay(periodMillis)
            }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
