package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against answers that look whole and are not, requests that are sent twice, and stale connections. */
class HttpDialerSpec {
    private val loop = EventLoop()
    private val foreignAnswers = CopyOnWriteArrayList<String>()
    private val dialer = HttpDialer(loop) { _, description -> foreignAnswers += description }

    @AfterEach
    fun close() = loop.close()

    private class Answer : AnswerListener {
        val end = CompletableFuture<String>()
        var status = 0
        val body = StringBuilder()

        override fun head(status: Int, headers: List<Header>) {
            this.status = status
        }

        override fun bytes(bytes: ByteArray) {
            body.append(bytes.decodeToString())
        }

        override fun complete() {
            end.complete("complete")
        }

        override fun notSent(reason: String) {
            end.complete("not sent")
        }

        override fun broken(reason: String) {
            end.complete("broken")
        }

        fun await(): String = end.get(5, TimeUnit.SECONDS)
    }

    data class AnswerCase(val name: String, val expected: String, val act: (RawConnection) -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("answers")
    fun `an answer is whole only by its own framing`(case: AnswerCase) {
        RawServer { connection ->
            connection.request()
            case.act(connection)
        }.use { server -> assertEquals(case.expected, send(server.address).await()) }
    }

    @Test
    fun `a connection that nobody listens on counts as not sent`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertEquals("not sent", send(InetSocketAddress(InetAddress.getLoopbackAddress(), port)).await())
    }

    // Guards against a request that is never ended because its target's id or path cannot be written into a head.
    @Test
    fun `a request that cannot be written counts as not sent`() {
        val server = RawServer { connection -> connection.request() }
        server.use {
            val answer = Answer()
            val request = OutgoingRequest(
                "GET",
                "/",
                listOf(Header("Expected", "i-1\r\nHold: 1")),
                connectTimeoutMillis = 500,
                reuseIdleMillis = 500,
            )
            loop.execute { dialer.send(server.address, request, answer) }
            assertEquals("not sent", answer.await())
            assertEquals(0, server.requests.size)
        }
    }

    data class FailingStepCase(val step: String, val failure: Throwable) {
        override fun toString() = "$step: ${failure.javaClass.simpleName}"
    }

    // Guards against an answer whose handling fails and whose end is never told to whoever waits for it.
    @ParameterizedTest
    @MethodSource("failingSteps")
    fun `an answer that cannot be handled counts as broken`(case: FailingStepCase) {
        val server = RawServer { connection ->
            while (connection.request() != null) connection.send(OK)
        }
        val ends = CopyOnWriteArrayList<String>()
        val broken = CompletableFuture<String>()
        val listener = object : AnswerListener {
            override fun head(status: Int, headers: List<Header>) = step("head")

            override fun bytes(bytes: ByteArray) = step("bytes")

            override fun complete() = step("complete")

            override fun notSent(reason: String) {
                ends += "not sent"
            }

            override fun broken(reason: String) {
                ends += "broken"
                broken.complete(reason)
            }

            private fun step(name: String) {
                if (name == case.step) throw case.failure
            }
        }
        server.use {
            val request =
                OutgoingRequest("GET", "/", emptyList(), connectTimeoutMillis = 500, reuseIdleMillis = 500)
            loop.execute { dialer.send(server.address, request, listener) }
            val reason = broken.get(5, TimeUnit.SECONDS)
            assertTrue(case.failure.javaClass.name in reason) { reason }
            assertEquals("complete", send(server.address).await())
            assertEquals(listOf("broken"), ends)
        }
    }

    data class KeepCase(val name: String, val answer: (String?) -> String, val isNamed: Boolean, val accepted: Int) {
        override fun toString() = name
    }

    // Guards against a kept connection whose last answer, written once more, could not be told from the next one, and
    // against a new connection for each request to a target that refuses or fails some.
    @ParameterizedTest
    @MethodSource("keepCases")
    fun `keeps a connection only after an answer that names its request`(case: KeepCase) {
        val server = RawServer { connection ->
            while (true) connection.send(case.answer(connection.requestId() ?: break))
        }
        server.use {
            repeat(3) { send(server.address, id = if (case.isNamed) "r-$it" else null).await() }
            assertEquals(case.accepted, server.accepted.get())
        }
    }

    // Guards against an earlier refusal, written once more, that is taken for the answer to the next request: a request
    // that runs would be reported as not run and be sent to another target.
    @Test
    fun `does not reuse a connection after a refusal that names no request`() {
        val connections = AtomicInteger()
        val server = RawServer { connection ->
            val isFirst = connections.getAndIncrement() == 0
            while (true) {
                val id = connection.requestId() ?: break
                connection.send(if (isFirst) REFUSAL else ok(id))
            }
        }
        server.use {
            val refused = send(server.address, id = "r-1")
            refused.await()
            val next = send(server.address, id = "r-2")
            next.await()
            assertEquals(listOf(503, 200), listOf(refused.status, next.status))
        }
    }

    data class SecondAnswerCase(val name: String, val second: String, val end: String, val body: String) {
        override fun toString() = name
    }

    // Guards against a second answer to an earlier request, whatever its status, that is taken for the answer to the
    // request that waits on the same connection.
    @ParameterizedTest
    @MethodSource("secondAnswers")
    fun `tells the answer to a request from a second answer to an earlier one`(case: SecondAnswerCase) {
        val server = RawServer { connection ->
            connection.requestId()
            connection.send(ok("r-1"))
            connection.requestId()
            connection.send(case.second)
            connection.send(ok("r-2", "own"))
            connection.request()
        }
        server.use {
            assertEquals("complete", send(server.address, id = "r-1").await())
            val answer = send(server.address, id = "r-2")
            assertEquals(case.end, answer.await())
            assertEquals(case.body, answer.body.toString())
            assertEquals(1, server.accepted.get())
            assertEquals(1, foreignAnswers.size)
        }
    }

    // Guards against a second answer whose pieces are joined with the next answer, or are waited for in vain.
    @ParameterizedTest
    @CsvSource("0, 1", "30, 2")
    fun `a second answer in pieces belongs to no request`(bytesBefore: Int, accepted: Int) {
        val second = ok("r-1", "other")
        val server = RawServer { connection ->
            if (connection.requestId() == "r-1") {
                connection.send(ok("r-1") + second.take(bytesBefore))
                connection.requestId()
                connection.send(second.drop(bytesBefore).dropLast(2))
                Thread.sleep(50)
                connection.send(second.takeLast(2))
            }
            connection.send(ok("r-2", "own"))
            connection.request()
        }
        server.use {
            assertEquals("complete", send(server.address, id = "r-1").await())
            val answer = send(server.address, id = "r-2")
            assertEquals("complete own", "${answer.await()} ${answer.body}")
            assertEquals(accepted, server.accepted.get())
        }
    }

    // Guards against a request that waits for the end of a second answer that has none.
    @ParameterizedTest
    @ValueSource(strings = ["Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n", ""])
    fun `a second answer that does not end is not waited for`(framing: String) {
        val server = RawServer { connection ->
            connection.requestId()
            connection.send(ok("r-1"))
            connection.requestId()
            connection.send("HTTP/1.1 200 OK\r\n$ID: r-1\r\n$framing\r\n")
            connection.request()
        }
        server.use {
            assertEquals("complete", send(server.address, id = "r-1").await())
            assertEquals("broken", send(server.address, id = "r-2").await())
        }
    }

    // Guards against a request that waits for an answer after its target has sent one under a wrong name.
    @Test
    fun `an answer to another request on a new connection ends it`() {
        val server = RawServer { connection ->
            connection.requestId()
            connection.send(ok("r-0"))
            connection.request()
        }
        server.use { assertEquals("broken", send(server.address, id = "r-1").await()) }
    }

    @Test
    fun `answers to other requests without end are not waited for`() {
        val server = RawServer { connection ->
            connection.requestId()
            connection.send(ok("r-0"))
            connection.requestId()
            connection.sendWithoutEnd("", ok("r-0"))
        }
        server.use {
            assertEquals("complete", send(server.address, id = "r-0").await())
            assertEquals("broken", send(server.address, id = "r-1").await())
        }
    }

    // Guards against an order, a report or a call to the store that takes a second answer to the call before it.
    @Test
    fun `a request whose answer names none has a connection of its own`() {
        val server = RawServer { connection ->
            while (true) connection.send(ok(connection.requestId() ?: break))
        }
        server.use {
            send(server.address, id = "r-1").await()
            repeat(2) { send(server.address, id = null).await() }
            assertEquals(3, server.accepted.get())
        }
    }

    // Guards against a further attempt of a request that takes the second answer to its earlier attempt, and against
    // the loss of the kept connections that it leaves unused.
    @Test
    fun `a request without an idle time has a new connection and leaves the kept ones`() {
        val server = RawServer { connection ->
            while (true) connection.send(ok(connection.requestId() ?: break))
        }
        server.use {
            send(server.address, id = "r-1").await()
            send(server.address, id = "r-1", reuseIdleMillis = 0).await()
            assertEquals(2, server.accepted.get())
            repeat(2) { send(server.address, id = "r-2").await() }
            assertEquals(2, server.accepted.get())
        }
    }

    @Test
    fun `does not reuse a connection beyond its idle time`() {
        val server = RawServer { connection ->
            while (connection.request() != null) connection.send(OK)
        }
        server.use {
            send(server.address).await()
            Thread.sleep(150)
            send(server.address, reuseIdleMillis = 100).await()
            assertEquals(2, server.accepted.get())
        }
    }

    @Test
    fun `never sends a request twice when the target closes a kept connection`() {
        val server = RawServer { connection ->
            connection.request()
            connection.send(OK)
            connection.request()
            connection.reset()
        }
        server.use {
            assertEquals("complete", send(server.address).await())
            assertEquals("broken", send(server.address).await())
            assertEquals(2, server.requests.size)
        }
    }

    @Test
    fun `bytes after a whole answer belong to no request`() {
        val server = RawServer { connection ->
            connection.request()
            connection.send(OK + OK)
            if (connection.request() != null) connection.send(OK)
        }
        server.use {
            send(server.address).await()
            Thread.sleep(100)
            val second = send(server.address)
            assertEquals("complete", second.await())
            assertEquals(2, server.accepted.get())
        }
    }

    @Test
    fun `blank bytes without end on a kept connection end it`() {
        val ended = CompletableFuture<Boolean>()
        val server = RawServer { connection ->
            connection.request()
            connection.send(OK)
            ended.complete(runCatching { repeat(10_000) { connection.send(" ".repeat(10_000)) } }.isFailure)
        }
        server.use {
            send(server.address).await()
            assertTrue(ended.get(5, TimeUnit.SECONDS))
        }
    }

    @Test
    fun `a request whose permission ends while its connection opens does not leave`() {
        val server = RawServer { connection ->
            while (connection.request() != null) connection.send(OK)
        }
        server.use {
            send(server.address).await()
            // The second call finds a kept connection, the first one after it a new one.
            repeat(2) {
                var isPermitted = true
                val answer = Answer()
                loop.execute {
                    dialer.send(server.address, request(mayLeave = { isPermitted }), answer)
                    isPermitted = false
                }
                assertEquals("not sent", answer.await())
            }
            assertEquals(1, server.requests.size)
        }
    }

    @Test
    fun `an answer before the end of a long request ends the connection`() {
        val server = RawServer { connection ->
            connection.request(withBody = false)
            connection.send(OK)
            Thread.sleep(300)
        }
        server.use {
            assertEquals("complete", send(server.address, body = ByteArray(64_000_000)).await())
            send(server.address, body = ByteArray(10)).await()
            assertEquals(2, server.accepted.get())
        }
    }

    // Guards against an order that a cut holds up and that arrives after the orders of the next holder.
    @ParameterizedTest
    @CsvSource("true, reset", "false, closed")
    fun `only a request that asks for it is reset when it is cancelled`(resets: Boolean, expected: String) {
        val end = CompletableFuture<String>()
        val server = RawServer { connection ->
            repeat(2) {
                connection.request()
                connection.send(OK)
            }
            connection.request()
            end.complete(runCatching { connection.isClosedByPeer() }.fold({ "closed" }, { "reset" }))
        }
        server.use {
            assertEquals("complete", send(server.address, resetsIfUnanswered = true).await())
            assertEquals("complete", send(server.address).await())
            val answer = Answer()
            loop.execute {
                val call = dialer.send(server.address, request(resetsIfUnanswered = resets), answer)
                loop.schedule(100) { call.cancel() }
            }
            assertEquals(expected, end.get(5, TimeUnit.SECONDS))
            assertEquals(1, server.accepted.get())
        }
    }

    @Test
    fun `a cancelled request closes its connection and is not heard of again`() {
        val closed = CompletableFuture<Boolean>()
        val server = RawServer { connection ->
            connection.request()
            closed.complete(connection.isClosedByPeer())
        }
        server.use {
            val answer = Answer()
            val call = CompletableFuture<OutgoingCall>()
            loop.execute { call.complete(dialer.send(server.address, request(), answer)) }
            Thread.sleep(200)
            loop.execute { call.get().cancel() }
            assertTrue(closed.get(5, TimeUnit.SECONDS))
            Thread.sleep(100)
            assertTrue(!answer.end.isDone)
        }
    }

    @Test
    fun `sends path and headers as they are, and adds none of its own`() {
        RawServer { connection ->
            connection.request()
            connection.send(OK)
        }.use { server ->
            send(server.address, id = null, path = "/a//b/%2f/../c;x=1?q=%20&r=a+b").await()
            val lines = server.requests[0].split("\r\n")
            assertEquals("POST /a//b/%2f/../c;x=1?q=%20&r=a+b HTTP/1.1", lines[0])
            val names = lines.drop(1).takeWhile { it.isNotEmpty() }.map { it.substringBefore(':').lowercase() }
            assertEquals(setOf("host", "x-double", "content-length"), names.toSet())
            assertEquals(2, names.count { it == "x-double" })
        }
    }

    private fun request(
        id: String? = "r",
        body: ByteArray = ByteArray(3),
        path: String = "/a",
        reuseIdleMillis: Long = 5_000,
        mayLeave: () -> Boolean = { true },
        resetsIfUnanswered: Boolean = false,
    ) = OutgoingRequest(
        "POST",
        path,
        listOfNotNull(
            Header("Host", "h"),
            Header("X-Double", "1"),
            Header("X-Double", "2"),
            id?.let { Header(ID, it) },
        ),
        body,
        1_000,
        reuseIdleMillis,
        mayLeave,
        resetsIfUnanswered,
        id?.let { Header(ID, it) },
    )

    private fun send(
        address: InetSocketAddress,
        id: String? = "r",
        body: ByteArray = ByteArray(3),
        path: String = "/a",
        reuseIdleMillis: Long = 5_000,
        resetsIfUnanswered: Boolean = false,
    ): Answer {
        val answer = Answer()
        val request = request(id, body, path, reuseIdleMillis, resetsIfUnanswered = resetsIfUnanswered)
        loop.execute { dialer.send(address, request, answer) }
        return answer
    }

    companion object {
        @JvmStatic
        fun failingSteps(): List<FailingStepCase> = listOf("head", "bytes", "complete").flatMap { step ->
            listOf(IllegalStateException(), StackOverflowError()).map { FailingStepCase(step, it) }
        }

        private const val REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        private const val ID = "X-Id"

        /** A whole answer that names the request of [send] unless that has another id. */
        private const val OK = "HTTP/1.1 200 OK\r\n$ID: r\r\nContent-Length: 2\r\n\r\nok"

        private fun ok(id: String, body: String = "ok") = answer("200 OK", body, id)

        private fun answer(status: String, body: String, id: String?): String {
            val name = id?.let { "$ID: $it\r\n" }.orEmpty()
            return "HTTP/1.1 $status\r\n${name}Content-Length: ${body.length}\r\n\r\n$body"
        }

        /** Reads a request and returns its id, an empty text if it has none, or null at the end of the connection. */
        private fun RawConnection.requestId(): String? {
            val lines = request()?.lineSequence() ?: return null
            return lines.firstOrNull { it.startsWith(ID) }?.substringAfter(": ").orEmpty()
        }

        @JvmStatic
        fun keepCases() = listOf(
            KeepCase("a success that names it", { ok(it!!) }, true, 1),
            KeepCase("a refusal that names it", { answer("503 Busy", "", it) }, true, 1),
            KeepCase("a failure that names it", { answer("500 Error", "no", it) }, true, 1),
            KeepCase("a success that names none", { answer("200 OK", "ok", null) }, true, 3),
            KeepCase("a refusal that names none", { answer("503 Busy", "", null) }, true, 3),
            KeepCase("a request without an id", { answer("200 OK", "ok", null) }, false, 3),
        )

        @JvmStatic
        fun secondAnswers(): List<SecondAnswerCase> = listOf("200 OK", "421 Other", "429 Full", "500 Error", "503 Busy")
            .flatMap { status ->
                listOf(
                    SecondAnswerCase("$status, named", answer(status, "other", "r-1"), "complete", "own"),
                    SecondAnswerCase("$status, not named", answer(status, "other", null), "broken", ""),
                )
            }

        private fun case(name: String, expected: String, act: (RawConnection) -> Unit) = AnswerCase(name, expected, act)

        @JvmStatic
        fun answers() = listOf(
            case("a length", "complete") { it.send(OK) },
            case("a length that is not reached", "broken") {
                it.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
                it.close()
            },
            case("chunks with their end", "complete") {
                it.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
            },
            case("chunks without their end", "broken") {
                it.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
                it.close()
            },
            case("no length, closed", "complete") {
                it.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
                it.close()
            },
            case("no length, reset", "broken") {
                it.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
                Thread.sleep(50)
                it.reset()
            },
            case("closed before an answer", "broken") { it.close() },
            case("closed within the status line", "broken") {
                it.send("HTTP/1.1 200 O")
                it.close()
            },
            case("closed after the status line", "broken") {
                it.send("HTTP/1.1 200 OK\r\n")
                it.close()
            },
            case("closed within a field of the head", "broken") {
                it.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResponse-Sig")
                it.close()
            },
            case("closed before the blank line of the head", "broken") {
                it.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Field: 1\r\n")
                it.close()
            },
            case("reset before an answer", "broken") { it.reset() },
            case("bytes that are no answer", "broken") { it.send("\u0001\u0002garbage\r\n\r\nmore\r\n") },
            case("a status line without end", "broken") { it.sendWithoutEnd("HTTP/1.1 200 OK", "x".repeat(1_000)) },
            case("a head without end", "broken") {
                it.sendWithoutEnd("HTTP/1.1 200 OK\r\n", "X-Field: ${"x".repeat(1_000)}\r\n")
            },
            case("interim answers without end", "broken") {
                it.sendWithoutEnd("", "HTTP/1.1 103 Early Hints\r\n\r\n")
            },
            case("a chunk size without end", "broken") {
                it.sendWithoutEnd("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1".repeat(1_000))
            },
            case("trailers without end", "broken") {
                it.sendWithoutEnd(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X-Field: ${"x".repeat(1_000)}\r\n",
                )
            },
            case("an interim answer first", "complete") { it.send("HTTP/1.1 103 Early Hints\r\n\r\n$OK") },
        )
    }
}
