package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpMethod
import dev.bergamotwind.test.EngineCompletion
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a graceful shutdown that interrupts running requests or keeps accepting new ones. */
class DrainSpec {
    @Test
    fun `finishes running requests, refuses new ones as not run, and leaves the other node serving`() {
        TestDeployment(tokenDelayMillis = 100).use { deployment ->
            val node = deployment.nodes[0]
            val streaming = deployment.requestCompletion(node, "a long question", stream = true, tokens = 30)
            deployment.awaitCondition("the stream") { "\"activeRequests\":1" in nodeStatus(deployment, node) }
            val stopping = Thread(node::stop).apply { start() }
            deployment.awaitCondition("not ready") { "closing" in nodeStatus(deployment, node) }
            val ready = deployment.send(
                node.callerPort,
                deployment.requestHeaders(HttpMethod.GET, "/health/ready", null),
                "",
            )
            assertEquals(503, ready.join().status().code())
            val refused = deployment.requestCompletion(node, "too late").join()
            assertEquals(503, refused.status().code())
            assertTrue("\"run\":\"not_run\"" in refused.contentUtf8()) { refused.contentUtf8() }
            val text = streaming.join().contentUtf8()
            val tokens = "\"text\":\"(w\\d+ )\"".toRegex().findAll(text).map { it.groupValues[1] }.toList()
            assertEquals(EngineCompletion.tokensOf("a long question", 30), tokens)
            assertTrue(text.trimEnd().endsWith("data: [DONE]")) { text }
            stopping.join()
            assertEquals(
                200,
                deployment.requestCompletion(deployment.nodes[1], "the other node").join().status().code(),
            )
        }
    }

    private fun nodeStatus(deployment: TestDeployment, node: RunningNode): String =
        deployment.operatorRequest(node, HttpMethod.GET, "/administration/v1/status").contentUtf8()
}
