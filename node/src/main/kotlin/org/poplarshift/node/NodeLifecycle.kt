package org.poplarshift.node

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/** The state of this node, as health checks and peers see it. */
class NodeLifecycle {
    private val mutableState = MutableStateFlow(NodeState.STARTING)

    val state: StateFlow<NodeState> = mutableState

    val isLeaving: Boolean get() = state.value == NodeState.LEAVING

    /** Reports that the node has a configuration. */
    fun markReady() {
        mutableState.compareAndSet(NodeState.STARTING, NodeState.SERVING)
    }

    /** Reports that the node leaves; there is no way back. */
    fun markLeaving() {
        mutableState.value = NodeState.LEAVING
    }
}
