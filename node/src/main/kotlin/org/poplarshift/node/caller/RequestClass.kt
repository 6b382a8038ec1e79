package org.poplarshift.node.caller

/**
 * What kind of work a request is, for latency metrics.
 *
 * @property label the value of the tag `class`
 */
enum class RequestClass(val label: String) {
    COMPLETION("completion"),
    SERVICE("service"),
}
