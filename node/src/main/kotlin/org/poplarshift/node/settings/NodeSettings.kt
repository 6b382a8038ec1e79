package org.poplarshift.node.settings

import kotlinx.serialization.Serializable
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.serving.http.SocketAddresses

/**
 * The settings of one node, read from a JSON file. `settings.schema.json` gives ranges and required fields.
 *
 * Addresses are an IP number and a port, such as `10.0.0.4:8080`.
 *
 * @property vm the name of this VM in the platform's list
 * @property callersAddress where callers connect
 * @property peersAddress where other nodes, health checks and metrics connect
 * @property peersListenAddress where the node listens for them when that differs, as behind a forwarded port
 * @property seedPeers peers listeners that are tried before the platform's list is known
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
    /** Where the node listens for peers. */
    val listenAddressForPeers: String get() = peersListenAddress ?: peersAddress

    /** The IP number from which the node connects to others, so that they see which VM connects. */
    val outgoingHost: String get() = SocketAddresses.parse(listenAddressForPeers).host()
}
