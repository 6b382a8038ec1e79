package org.poplarshift.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The scope in which rates and bursts are enforced. */
@Serializable
enum class QuotaMode {
    /** Over all VMs together, with slots and token leases. */
    @SerialName("fleet")
    FLEET,

    /** At each VM separately; the baseline, which admits more than the limit when there is more than one VM. */
    @SerialName("local")
    LOCAL,
}
