package org.poplarshift.node

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/** The state of this node, as health checks and peers see it. */
class NodeLifecycle {
    private val mutableState = MutableStateFlow(NodeState.STARTING)

    val state: StateFlow<NodeState> = mutableState

    val isLeaving: Boolean get() = state.value == NodeState.LEAVING

    /** Marks the node as serving, because it has a configuration. Has no effect on a leaving node. */
    fun markReady() {
        mutableState.compareAndSet(NodeState.STARTING, NodeState.SERVING)
    }

    /** Marks the node as leaving. This is final. */
    fun markLeaving() {
        mutableState.value = NodeState.LEAVING
    }
}
