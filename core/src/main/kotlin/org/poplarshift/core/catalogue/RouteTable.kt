package org.poplarshift.core.catalogue

/**
 * Finds the route of a request to a service upstream.
 *
 * A prefix matches whole path segments: `/labels` matches `/labels` and `/labels/7`, but not `/labels-old`.
 */
class RouteTable(routes: List<Route>) {
    private val longestFirst = routes.sortedByDescending { it.pathPrefix.length }

    /** Returns the route with the longest prefix that matches [method] and [path] (without a query), or null. */
    fun match(method: String, path: String): Route? =
        longestFirst.firstOrNull { it.method == method && isPrefix(it.pathPrefix, path) }

    private fun isPrefix(prefix: String, path: String): Boolean =
        path.startsWith(prefix) && (prefix.endsWith('/') || path.length == prefix.length || path[prefix.length] == '/')

    companion object {
        /**
         * Whether all HTTP servers interpret [path] as the same resource. An upstream may resolve dot segments, encoded
         * slashes, backslashes and path parameters, and so serve a path that belongs to another route.
         */
        fun isUnambiguous(path: String): Boolean {
            if (!path.startsWith('/') || AMBIGUOUS.containsMatchIn(path)) return false
            val segments = path.split('/').map { it.replace(ENCODED_DOT, ".") }
            return segments.none { it == "." || it == ".." }
        }

        private val AMBIGUOUS = Regex("""%2f|%5c|%00|%25|\\|;|//""", RegexOption.IGNORE_CASE)
        private val ENCODED_DOT = Regex("%2e", RegexOption.IGNORE_CASE)
    }
}
