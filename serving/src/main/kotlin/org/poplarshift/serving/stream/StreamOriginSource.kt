package org.poplarshift.serving.stream

/** What has determined the origin of a stream. */
enum class StreamOriginSource {
    /** The memory of the node that was asked. */
    LOCAL,

    /** A node that holds a copy. */
    REPLICA,

    /** The log, because it records only one version. */
    LOG,

    /** Nothing. */
    NONE,
}
