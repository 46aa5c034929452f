package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpMethod
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.keyDigest
import dev.bergamotwind.test.EngineCompletion
import dev.bergamotwind.test.TargetFaults
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.Socket

/** Guards against truncated, duplicated or mixed-up responses, repeated executions, and false "not run" errors. */
class ServingSpec {
    @AfterEach
    fun `no invariant was violated`() {
        clearFaults()
        assertEquals(emptyList<String>(), deployment.violatedInvariants())
    }

    @ParameterizedTest
    @ValueSource(ints = [0, 1, 5, 7, 8])
    fun `delivers each token once when an engine closes the connection after token`(breakAfterTokens: Int) {
        // Successful calls fill the retry budget.
        repeat(20) { deployment.requestCompletion(deployment.nodes[0], "earn $breakAfterTokens $it").join() }
        deployment.setTargetFaults(deployment.engines[0].port, TargetFaults(breakAfterTokens = breakAfterTokens))
        repeat(4) { number ->
            val prompt = "break $breakAfterTokens $number"
            val text = deployment.requestCompletion(deployment.nodes[0], prompt, stream = true).join().contentUtf8()
            assertEquals(EngineCompletion.tokensOf(prompt, 8), tokensIn(text)) { text }
            assertTrue(text.trimEnd().endsWith("data: [DONE]")) { text }
        }
    }

    @Test
    fun `ends a stream that cannot be resumed with an error event`() {
        deployment.engines.forEach { deployment.setTargetFaults(it.port, TargetFaults(breakAfterTokens = 3)) }
        val text = deployment.requestCompletion(
            deployment.nodes[1],
            "no engine finishes",
            stream = true,
        ).join().contentUtf8()
        assertTrue("event: error" in text && "\"run\":\"run\"" in text) { text }
        assertFalse("[DONE]" in text) { text }
    }

    @Test
    fun `shares one run among identical concurrent requests and gives each caller the complete response`() {
        deployment.engines.forEach { deployment.setTargetFaults(it.port, TargetFaults(delayMillis = 300)) }
        val before = engineRequestCount()
        val answers =
            List(10) { deployment.requestCompletion(deployment.nodes[0], "same question", stream = it % 2 == 0) }
        val texts = answers.map { it.join().contentUtf8() }
        val expected = EngineCompletion.tokensOf("same question", 8)
        texts.forEachIndexed { index, text ->
            if (index % 2 ==
                0
            ) {
                assertEquals(expected, tokensIn(text))
            } else {
                assertTrue(expected.joinToString("") in text)
            }
        }
        assertEquals(2, engineRequestCount() - before) { "one run streamed and one not streamed" }
    }

    @Test
    fun `runs a call with an idempotency key once even if it is repeated at other nodes`() {
        val answers = List(8) { deployment.postOrder(deployment.nodes[it % 2], "kit-once", "once") }.map { it.join() }
        assertEquals(1, deployment.executionCount("kit-once"))
        assertTrue(answers.any { it.status().code() == 200 })
        assertTrue(
            answers.all {
                it.status().code() in setOf(200, 409)
            },
        ) { answers.map { it.contentUtf8() }.toString() }
        assertEquals(200, deployment.postOrder(deployment.nodes[1], "kit-once", "once").join().status().code())
        assertEquals(422, deployment.postOrder(deployment.nodes[1], "another", "once").join().status().code())
    }

    @Test
    fun `does not repeat a call whose target closes the connection after executing it`() {
        deployment.services.forEach { deployment.setTargetFaults(it.port, TargetFaults(breakAfterTokens = 0)) }
        val first = deployment.postOrder(deployment.nodes[0], "kit-lost", "lost").join()
        assertEquals(502, first.status().code())
        assertFalse("not_run" in first.contentUtf8()) { first.contentUtf8() }
        clearFaults()
        val second = deployment.postOrder(deployment.nodes[1], "kit-lost", "lost").join()
        assertEquals(409, second.status().code()) { second.contentUtf8() }
        assertEquals(1, deployment.executionCount("kit-lost"))
    }

    @Test
    fun `refuses a call with an idempotency key as not run while the platform is down, and runs it later`() {
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = true)
        val refused = deployment.postOrder(deployment.nodes[0], "kit-outage", "outage").join()
        assertEquals(503, refused.status().code())
        assertTrue("\"run\":\"not_run\"" in refused.contentUtf8()) { refused.contentUtf8() }
        assertEquals(200, deployment.requestCompletion(deployment.nodes[0], "serving goes on").join().status().code())
        clearFaults()
        deployment.awaitCondition("the claim") {
            deployment.postOrder(deployment.nodes[0], "kit-outage", "outage").join().status().code() == 200
        }
        assertEquals(1, deployment.executionCount("kit-outage"))
    }

    @Test
    fun `sends no new calls to a draining target and loses none`() {
        deployment.setTargetFaults(deployment.services[0].port, TargetFaults(draining = true))
        repeat(10) {
            assertEquals(200, deployment.postOrder(deployment.nodes[0], "kit-draining-$it").join().status().code())
        }
    }

    @Test
    fun `refuses a revoked key and cancels its running stream`() {
        deployment.engines.forEach { deployment.setTargetFaults(it.port, TargetFaults(delayMillis = 20_000)) }
        val key = TestDeployment.SECOND_KEY
        val streaming = deployment.requestCompletion(deployment.nodes[1], "long", stream = true, tokens = 9, key = key)
        deployment.applyEdits("revoke", listOf(ConfigurationEdit.RevokeKey(keyDigest(key))))
        assertTrue("revoked" in streaming.join().contentUtf8())
        deployment.nodes.forEach {
            assertEquals(401, deployment.requestCompletion(it, key = key).join().status().code())
        }
    }

    @Test
    fun `releases admission slots of callers that disconnect before the response`() {
        deployment.engines.forEach { deployment.setTargetFaults(it.port, TargetFaults(delayMillis = 20_000)) }
        val node = deployment.nodes[0]
        repeat(5) { number ->
            val body = """{"model":"shade","stream":${number % 2 == 0},"prompt":"left $number"}"""
            val head = "POST /v1/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer ${TestDeployment.KEY}\r\n"
            Socket("127.0.0.1", node.callerPort).use { socket ->
                val request = head + "Content-Length: ${body.length}\r\n\r\n$body"
                socket.getOutputStream().apply { write(request.toByteArray()) }.flush()
                deployment.awaitCondition("the request") { "\"activeRequests\":0" !in nodeStatus(node) }
            }
            deployment.awaitCondition("no request") { "\"activeRequests\":0" in nodeStatus(node) }
        }
        deployment.awaitCondition("the release of the admission slot") {
            "bergamotwind_requests_running 0.0" in
                nodeMetrics(node)
        }
    }

    private fun nodeStatus(node: RunningNode) =
        deployment.operatorRequest(node, HttpMethod.GET, "/administration/v1/status").contentUtf8()

    private fun nodeMetrics(node: RunningNode) =
        deployment.operatorRequest(node, HttpMethod.GET, "/metrics").contentUtf8()

    private fun clearFaults() {
        (deployment.engines.map { it.port } + deployment.services.map { it.port })
            .forEach { deployment.setTargetFaults(it, TargetFaults()) }
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = false)
    }

    private fun engineRequestCount(): Int = deployment.engines.sumOf { engine ->
        val headers = deployment.requestHeaders(HttpMethod.GET, "/requests", null)
        "\"path\"".toRegex().findAll(deployment.send(engine.port, headers, "").join().contentUtf8()).count()
    }

    private fun tokensIn(text: String): List<String> =
        "\"text\":\"(w\\d+ )\"".toRegex().findAll(text).map { it.groupValues[1] }.toList()

    companion object {
        private val deployment by lazy { TestDeployment() }

        @JvmStatic
        @AfterAll
        fun close() = deployment.close()
    }
}
