package org.poplarshift.verification.client

/**
 * Limits under which a node runs.
 *
 * @property residentMegabytes maximum resident memory in MiB
 * @property descriptors maximum number of open file descriptors of the process
 */
enum class NodeSize(
    val heapMegabytes: Int,
    val residentMegabytes: Int,
    val maximumBodyBytes: Int,
    val descriptors: Int,
) {
    /** The smallest VM of the users' platform, with the heap of deploy/system.toml. */
    USUAL(heapMegabytes = 96, residentMegabytes = 160, maximumBodyBytes = 4 * 1024 * 1024, descriptors = 1_024),

    /** The same VM with a smaller heap, so that few clients can exhaust it. */
    SMALL(heapMegabytes = 40, residentMegabytes = 160, maximumBodyBytes = 1024 * 1024, descriptors = 400),
    ;

    /** Bound for open descriptors. The rest is left for connections to the store, to workers and to other nodes. */
    val usableDescriptors: Int
        get() = descriptors * 9 / 10
}
