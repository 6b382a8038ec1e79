package org.poplarshift.node

/** The lifecycle state of a node. */
enum class NodeState {
    /** The servers listen, but there is no configuration yet. */
    STARTING,
    SERVING,

    /** SIGTERM was received: the node still serves requests and announces that it is leaving. */
    LEAVING,
}
