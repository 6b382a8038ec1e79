package org.poplarshift.node.caller

/**
 * The kind of a request in latency metrics.
 *
 * @property label the value of the metric tag `class`
 */
enum class RequestClass(val label: String) {
    COMPLETION("completion"),
    SERVICE("service"),
}
