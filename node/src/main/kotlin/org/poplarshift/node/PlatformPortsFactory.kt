package org.poplarshift.node

import org.poplarshift.node.settings.PlatformSettings
import org.poplarshift.platform.AppendResult
import org.poplarshift.platform.LogService
import org.poplarshift.platform.ReadResult
import org.poplarshift.platform.VmList
import org.poplarshift.platform.VmListResult
import org.poplarshift.platform.WeightStore
import org.poplarshift.platform.WeightStoreResult

/** Makes the ports to the platform that the settings name. */
object PlatformPortsFactory {
    /** Until the HTTP adapters are available, every port reports that the platform is unavailable. */
    fun create(settings: PlatformSettings): PlatformPorts {
        val reason = "no adapter for ${settings.logAddress}"
        val logService = object : LogService {
            override suspend fun append(stream: String, record: String) = AppendResult.Refused(reason)

            override suspend fun read(stream: String, fromOffset: Long, maximumRecords: Int, waitMillis: Long) =
                ReadResult.Unavailable(reason)
        }
        val vmList = object : VmList {
            override suspend fun read() = VmListResult.Unavailable(reason)
        }
        val weightStore = object : WeightStore {
            override suspend fun reserveLoad(model: String) = WeightStoreResult.Unavailable(reason)
        }
        return PlatformPorts(logService, vmList, weightStore)
    }
}
