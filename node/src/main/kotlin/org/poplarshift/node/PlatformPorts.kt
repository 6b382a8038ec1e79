package org.poplarshift.node

import org.poplarshift.ports.LogService
import org.poplarshift.ports.VmList
import org.poplarshift.ports.WeightStore

/** The ports to the platform's services. */
data class PlatformPorts(val logService: LogService, val vmList: VmList, val weightStore: WeightStore)
