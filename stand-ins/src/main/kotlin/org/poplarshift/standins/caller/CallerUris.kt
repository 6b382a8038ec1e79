package org.poplarshift.standins.caller

/** Paths that callers and the balancer of the users' platform use. */
object CallerUris {
    /** Path of the readiness check. */
    const val READINESS = "/-/ready"

    /** Results of a submission from position [after] on. */
    fun results(submission: String, after: Int): String = "/-/lots/$submission?after=$after"

    /** The end of a submission. */
    fun end(submission: String): String = "/-/lots/$submission"

    /** Body of an item that has no result. */
    fun item(submission: String, item: String): String = "/-/items/$submission?id=$item"
}
