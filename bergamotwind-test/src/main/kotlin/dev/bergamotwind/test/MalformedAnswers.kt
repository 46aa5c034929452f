package dev.bergamotwind.test

/** Bytes that look like answers and are none in the grammar of RFC 9112. */
public object MalformedAnswers {
    private val statuses: List<String> =
        listOf("000", "001", "099", "0", "20", "600", "999", "2000", "0200", "+200", "-200", "2x0", "101")
            .map { "HTTP/1.1 $it Status" }

    private val firstLines: List<String> = listOf(
        "HTTP/1.1  200 OK",
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200",
        "HTTP/1.1 200 O\u0001K",
        "HTTP/1.1 200 O\rK",
        "HTTP/2.0 200 OK",
        "HTTP/1.10 200 OK",
        "http/1.1 200 OK",
        "HTTQ",
    )

    private val fields: List<String> = listOf(
        "X Field: 1",
        "X\tField: 1",
        "X-Field : 1",
        "X-Field\t: 1",
        "X\u0000Field: 1",
        "X\u0001Field: 1",
        "X\u000bField: 1",
        "X\u007fField: 1",
        "X\rField: 1",
        "\u0000X-Field: 1",
        "X\u00e9Field: 1",
        "X(Field): 1",
        ": 1",
        "no field",
        " X-Field: 1",
        "X-Field: 1\r\n folded",
        "X-Field: 1\nX-Other: 2",
        "X-Field: a\u0000b",
        "X-Field: a\u0001b",
        "X-Field: a\rb",
        "Content-Length : 5",
        "Content-Length\u0001: 5",
        "Content Length: 5",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\u000b: chunked",
    )

    private val framings: List<String> = listOf(
        framed("Content-Length: +2", body = "ok"),
        framed("Content-Length: 2x", body = "ok"),
        framed("Content-Length: -2", body = "ok"),
        framed("Content-Length:", body = "ok"),
        framed("Content-Length: 99999999999999999999", body = "ok"),
        framed("Content-Length: 2", "Content-Length: 3", body = "ok!"),
        framed("Content-Length: 2, 3", body = "ok!"),
        framed("Content-Length: 2", "Transfer-Encoding: chunked", body = "2\r\nok\r\n0\r\n\r\n"),
        framed("Transfer-Encoding: identity", body = "ok"),
        framed("Transfer-Encoding: chunked, gzip", body = "2\r\nok\r\n0\r\n\r\n"),
        framed("Transfer-Encoding: chunked", "Transfer-Encoding: chunked", body = "2\r\nok\r\n0\r\n\r\n"),
        framed("Transfer-Encoding: chunked", body = "2\r\nok\r\n0\r\n\r\n", version = "HTTP/1.0"),
        framed("Content-Length: 2", body = "ok", status = 204),
        framed("Transfer-Encoding: chunked", body = "2\r\nok\r\n0\r\n\r\n", status = 204),
        framed("Content-Length: 2", body = "", status = 103) + framed("Content-Length: 2", body = "ok"),
        "no answer",
        "HTTP/1.1 200 \u0000",
    )

    private val chunks: List<String> = listOf(
        "\r\nok\r\n0\r\n\r\n",
        "2 \r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        "2\nok\r\n0\r\n\r\n",
        "2\r\nokay\r\n0\r\n\r\n",
        "2;a\u0001b\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX Trailer: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n",
        "ffffffffffffffffff\r\nok",
    ).map { framed("Transfer-Encoding: chunked", body = it) }

    /** All of them, each as the text of its bytes. No byte of an end of the connection is needed to refuse one. */
    public val all: List<String> = (statuses + firstLines).map { "$it\r\nContent-Length: 2\r\n\r\nok" } +
        fields.map { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n$it\r\nX-Last: 1\r\n\r\nown bytes" } + framings + chunks

    /** Returns an answer with [fields], each as `name: value`. */
    public fun framed(vararg fields: String, body: String, version: String = "HTTP/1.1", status: Int = 200): String =
        "$version $status Status\r\n" + fields.joinToString("") { "$it\r\n" } + "\r\n" + body

    /** Returns [text] with its control bytes in a visible form, as the name of a case. */
    public fun shown(text: String): String =
        text.map { if (it in ' '..'~') "$it" else "<%02x>".format(it.code) }.joinToString("")
}
