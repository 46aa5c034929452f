package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpMethod
import dev.bergamotwind.test.EngineCompletion
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a planned stop that cuts requests or goes on taking new ones. */
class DrainSpec {
    @Test
    fun `finishes what it has, refuses new work as not run, and hands over to the other node`() {
        Deployment(tokenDelayMillis = 100).use { deployment ->
            val node = deployment.nodes[0]
            val streaming = deployment.ask(node, "a long question", stream = true, tokens = 30)
            deployment.await("the stream") { "\"activeRequests\":1" in status(deployment, node) }
            val stopping = Thread(node::stop).apply { start() }
            deployment.await("not ready") { "closing" in status(deployment, node) }
            val ready = deployment.send(node.callerPort, deployment.headers(HttpMethod.GET, "/health/ready", null), "")
            assertEquals(503, ready.join().status().code())
            val refused = deployment.ask(node, "too late").join()
            assertEquals(503, refused.status().code())
            assertTrue("\"run\":\"not_run\"" in refused.contentUtf8()) { refused.contentUtf8() }
            val text = streaming.join().contentUtf8()
            val tokens = "\"text\":\"(w\\d+ )\"".toRegex().findAll(text).map { it.groupValues[1] }.toList()
            assertEquals(EngineCompletion.tokensOf("a long question", 30), tokens)
            assertTrue(text.trimEnd().endsWith("data: [DONE]")) { text }
            stopping.join()
            assertEquals(200, deployment.ask(deployment.nodes[1], "the other node").join().status().code())
        }
    }

    private fun status(deployment: Deployment, node: RunningNode): String =
        deployment.operator(node, HttpMethod.GET, "/administration/v1/status").contentUtf8()
}
