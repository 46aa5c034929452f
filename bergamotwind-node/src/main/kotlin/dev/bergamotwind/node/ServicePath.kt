package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.QueryParams
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RouteId

/** The route and the target's path, parsed from a caller's path under `/services/`. */
internal data class ServicePath(val route: RouteId, val path: String) {
    internal companion object {
        private const val PREFIX = "/services/"
        private val credentialParameters = setOf(
            "key", "apikey", "accesskey", "accesstoken", "token", "authtoken", "auth", "authorization", "secret",
            "password", "signature", "sig", "credential",
        )
        private val nonCanonical =
            Regex("%(2e|2f|5c|00|25|0a|0d)|\\\\|/\\.\\.?(/|$)|[\\u0000-\\u001f]|//", RegexOption.IGNORE_CASE)

        /** Parses [rawPath] and drops query parameters that may hold a credential or that contain [credential]. */
        fun parse(rawPath: String, credential: String?): Either<Failure, ServicePath> {
            val path = rawPath.substringBefore('?')
            if (!path.startsWith(PREFIX) ||
                nonCanonical.containsMatchIn(path)
            ) {
                return invalid("the path is not canonical")
            }
            val route = path.removePrefix(PREFIX).substringBefore('/')
            if (route.isEmpty()) return invalid("the path names no route")
            val rest = path.removePrefix(PREFIX + route).ifEmpty { "/" }
            if (credential != null && rest.contains(credential)) return invalid("the path contains the caller's key")
            return ServicePath(RouteId(route), rest + filterQuery(rawPath.substringAfter('?', ""), credential)).right()
        }

        private fun filterQuery(raw: String, credential: String?): String {
            if (raw.isEmpty()) return ""
            val kept = QueryParams.builder()
            QueryParams.fromQueryString(raw).forEach { name, value ->
                if (!mayHoldCredential(name) && (credential == null || !value.contains(credential))) {
                    kept.add(name, value)
                }
            }
            return kept.build().toQueryString().let { if (it.isEmpty()) "" else "?$it" }
        }

        private fun mayHoldCredential(name: String): Boolean {
            val plain = name.lowercase().filter { it.isLetterOrDigit() }
            return plain in credentialParameters || plain.endsWith("apikey") || plain.endsWith("token")
        }

        private fun invalid(message: String) =
            Failure.Invalid(message, "Send the path as /services/ROUTE/... without dot segments or encoded separators.")
                .left()
    }
}
