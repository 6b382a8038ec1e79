package org.poplarshift.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Where rates and bursts are counted. */
@Serializable
enum class QuotaMode {
    /** Over all VMs together, by slots and token leases. */
    @SerialName("fleet")
    FLEET,

    /** At each VM alone; the baseline, which admits more than the limit when there is more than one VM. */
    @SerialName("local")
    LOCAL,
}
