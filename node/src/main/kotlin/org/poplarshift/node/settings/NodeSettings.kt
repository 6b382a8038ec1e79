package org.poplarshift.node.settings

import kotlinx.serialization.Serializable
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.serving.http.SocketAddresses

/**
 * The settings of one node, read from a JSON file. `settings.schema.json` defines ranges and required fields.
 *
 * Addresses are an IP number and a port, such as `10.0.0.4:8080`.
 *
 * @property vm the name of this VM in the platform's list
 * @property callersAddress the address of the listener for callers
 * @property peersAddress the address for other nodes, health checks and metrics
 * @property peersListenAddress the listen address for peers if it differs, for example behind a forwarded port
 * @property seedPeers the peer addresses to contact before the platform's list of VMs is available
 * @property batchControl whether batch yields to online requests; false is the baseline
 */
@Serializable
data class NodeSettings(
    val vm: String,
    val availabilityZone: String,
    val callersAddress: String,
    val peersAddress: String,
    val peersListenAddress: String? = null,
    val platform: PlatformSettings,
    val seedPeers: List<String> = emptyList(),
    val limits: LimitSettings = LimitSettings(),
    val logFormat: LogFormat = LogFormat.TEXT,
    val routing: RoutingPolicyChoice = RoutingPolicyChoice.PrefixAffinity,
    val batchControl: Boolean = true,
    val quotaMode: QuotaMode = QuotaMode.FLEET,
    val configuration: ConfigurationSettings = ConfigurationSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
) {
    /** The address on which the node listens for peers. */
    val listenAddressForPeers: String get() = peersListenAddress ?: peersAddress

    /** The source IP number of outgoing connections, by which other nodes identify the VM. */
    val outgoingHost: String get() = SocketAddresses.parse(listenAddressForPeers).host()
}
