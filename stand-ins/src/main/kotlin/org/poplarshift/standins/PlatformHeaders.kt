package org.poplarshift.standins

/** Headers of the users' platform that its callers and workers use. */
object PlatformHeaders {
    const val REQUEST_ID = "X-Poplarshift-Request-Id"
    const val DEADLINE = "X-Poplarshift-Deadline-Ms"
    const val KEY = "X-Poplarshift-Credential"
    const val ORGANISATION = "X-Poplarshift-Tenant"
    const val EXPECTED_WORKER = "X-Poplarshift-Expect-Instance"
    const val WORKER = "X-Poplarshift-Instance-Id"
    const val NOT_RUN = "X-Poplarshift-Not-Run"
    const val STAMP = "X-Poplarshift-Response-Stamp"
    const val WAIT = "X-Poplarshift-Wait-Ms"
    const val LAST_EVENT = "Last-Event-Id"
    const val RESUMED_REQUEST = "Resumes"
}
