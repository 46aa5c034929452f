package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against requests that run for another team, reach forbidden resources, or pass a caller's key to a target. */
class AttackSpec {
    data class AttackCase(
        val name: String,
        val path: String,
        val keys: List<String>,
        val body: String,
        val status: Int,
        val type: String,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("attackCases")
    fun `rejects the attack without running it`(case: AttackCase) {
        val headers = RequestHeaders.builder(HttpMethod.POST, case.path).contentType(MediaType.JSON)
        case.keys.forEach { headers.add(HttpHeaderNames.AUTHORIZATION, it) }
        val answer = deployment.send(deployment.nodes[0].callerPort, headers.build(), case.body).join()
        val text = answer.contentUtf8()
        assertEquals(case.status, answer.status().code()) { text }
        assertTrue("\"type\":\"${case.type}\"" in text && "\"run\":\"not_run\"" in text) { text }
    }

    @Test
    fun `forwards no credential to a target`() {
        val key = TestDeployment.KEY
        val headers = RequestHeaders.builder(HttpMethod.POST, "/services/orders/kits?api_key=$key&size=2&note=x$key")
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer $key").add("proxy-authorization", "Basic $key").add("cookie", "k=$key")
            .add("x-api-key", key).add("x-forwarded-authorization", key).add("accept-language", "en, $key")
        val answer = deployment.send(deployment.nodes[0].callerPort, headers.build(), "kit-1").join()
        assertEquals(200, answer.status().code()) { answer.contentUtf8() }
        assertTrue("size=2" in answer.contentUtf8())
        val recorded = (deployment.services.map { it.port } + deployment.engines.map { it.port }).joinToString {
            deployment.send(it, deployment.requestHeaders(HttpMethod.GET, "/requests", null), "").join().contentUtf8()
        }
        assertTrue("kit-1" in recorded)
        assertFalse(key in recorded) { recorded }
    }

    companion object {
        private val deployment by lazy { TestDeployment() }
        private const val COMPLETION_BODY = """{"model":"shade","prompt":"x"}"""
        private val ownKey = listOf("Bearer ${TestDeployment.KEY}")
        private val otherTeamKey = listOf("Bearer ${TestDeployment.OTHER_TEAM_KEY}")

        @JvmStatic
        @AfterAll
        fun close() = deployment.close()

        @JvmStatic
        fun attackCases() = listOf(
            AttackCase("no key", "/v1/completions", emptyList(), COMPLETION_BODY, 401, "unauthenticated"),
            AttackCase(
                "unknown key",
                "/v1/completions",
                listOf("Bearer nobody"),
                COMPLETION_BODY,
                401,
                "unauthenticated",
            ),
            AttackCase(
                "other scheme",
                "/v1/completions",
                listOf("Basic ${TestDeployment.KEY}"),
                COMPLETION_BODY,
                401,
                "unauthenticated",
            ),
            AttackCase("two keys", "/v1/completions", ownKey + otherTeamKey, COMPLETION_BODY, 401, "unauthenticated"),
            AttackCase("model of another team", "/v1/completions", otherTeamKey, COMPLETION_BODY, 403, "forbidden"),
            AttackCase(
                "unknown adapter",
                "/v1/completions",
                ownKey,
                """{"model":"shade:x","prompt":"x"}""",
                403,
                "forbidden",
            ),
            AttackCase("route of another team", "/services/orders/kits", otherTeamKey, "kit", 403, "forbidden"),
            AttackCase("route without a key", "/services/orders/kits", emptyList(), "kit", 401, "unauthenticated"),
            AttackCase("unknown route", "/services/nothing", ownKey, "kit", 403, "forbidden"),
            AttackCase(
                "path traversal from an open route",
                "/services/stock/..%2forders/kits",
                ownKey,
                "kit",
                400,
                "invalid_request",
            ),
            AttackCase("encoded dots", "/services/stock/%2e%2e/orders", ownKey, "kit", 400, "invalid_request"),
            AttackCase("key in the body", "/services/orders/kits", ownKey, TestDeployment.KEY, 400, "invalid_request"),
            AttackCase("broken JSON", "/v1/completions", ownKey, "{", 400, "invalid_request"),
            AttackCase("no prompt", "/v1/completions", ownKey, """{"model":"shade"}""", 400, "invalid_request"),
            AttackCase(
                "negative limit",
                "/v1/completions",
                ownKey,
                """{"model":"shade","prompt":"x","max_tokens":-1}""",
                400,
                "invalid_request",
            ),
            AttackCase("oversized body", "/v1/completions", ownKey, "x".repeat(70_000), 413, "body_too_large"),
        )
    }
}
