package org.poplarshift.node

/** Whether a node takes requests. */
enum class NodeState {
    /** The servers listen, but there is no configuration yet. */
    STARTING,
    SERVING,

    /** SIGTERM was received: the node still serves and tells everyone that it is leaving. */
    LEAVING,
}
