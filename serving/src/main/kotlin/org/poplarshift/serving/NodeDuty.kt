package org.poplarshift.serving

/** What a node does for others and gives up while a task that it needs for it fails again and again. */
enum class NodeDuty {
    /** Serving callers. Without it the node is not ready, so that the platform sends callers to other nodes. */
    CALLERS,

    /** Running items. Without it the node gives its shares back to the group. */
    ITEMS,
}
