package org.poplarshift.node.configuration

import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart

/** Keeps the configuration up to date from the log and marks the node as ready once there is a catalogue. */
class ConfigurationFollower(
    private val context: NodeContext,
    private val store: DefaultConfigurationStore,
    private val lifecycle: NodeLifecycle,
) : NodePart {
    override suspend fun start() {
        context.scope.launch { store.follow() }
        context.scope.launch {
            store.current.first { it.catalogue != null }
            lifecycle.markReady()
        }
    }
}
