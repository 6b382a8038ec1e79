package org.poplarshift.node

import org.poplarshift.platform.LogService
import org.poplarshift.platform.VmList
import org.poplarshift.platform.WeightStore

/** The platform's services as this node reaches them. */
data class PlatformPorts(val logService: LogService, val vmList: VmList, val weightStore: WeightStore)
