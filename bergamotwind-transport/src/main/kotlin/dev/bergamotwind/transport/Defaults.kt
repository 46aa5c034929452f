package dev.bergamotwind.transport

/** Connections that may wait to be accepted; bursts of new callers arrive faster than one turn of the event loop. */
internal const val ACCEPT_BACKLOG: Int = 1_024

/** Bytes of a request line or status line that are accepted. */
internal const val FIRST_LINE_LIMIT_BYTES: Int = 8_192

/**
 * Bytes of a long request that the kernel holds for a target. A larger request counts as written only once the target's
 * side has taken the rest, so that a target that closes the connection without reading it is noticed. 256 KiB carry
 * 100 Mbit/s over a round trip of 20 ms.
 */
internal const val SEND_BUFFER_BYTES: Int = 262_144

/** Bytes of the headers of a target's answer that are accepted. */
internal const val ANSWER_HEADER_LIMIT_BYTES: Int = 32_768

/** Interim answers (1xx) and answers to other requests after which a target is taken to send them without end. */
internal const val SKIPPED_ANSWER_LIMIT: Int = 8

/** Milliseconds in which an answer to another request has to be whole once its head has arrived; it is late already. */
internal const val SKIPPED_ANSWER_MILLIS: Long = 200

/** Bytes of a body that the decoder hands on at once. */
internal const val BODY_CHUNK_BYTES: Int = 16_384

/** Bytes queued for a slow reader above which its source is paused. */
internal const val WRITE_QUEUE_HIGH_BYTES: Int = 65_536

/** Bytes queued for a slow reader below which its source is resumed. */
internal const val WRITE_QUEUE_LOW_BYTES: Int = 16_384

/** Bytes of memory that a write takes beside its content until the kernel has taken it: buffers and a promise. */
internal const val WRITE_OVERHEAD_BYTES: Long = 1_024

/** Requests of one caller connection that are kept while an earlier one is answered; further bytes stay unread. */
internal const val PIPELINED_REQUESTS: Int = 4

/** Milliseconds within which a caller sends a request after it has connected or has got an answer, if it has one. */
internal const val NEXT_REQUEST_MILLIS: Long = 250

/** Seconds of silence after which the kernel probes a connection; the smallest value that it takes. */
internal const val KEEP_ALIVE_SECONDS: Int = 1

/** Probes without an answer after which the kernel ends a connection: three seconds of silence in all. */
internal const val KEEP_ALIVE_PROBES: Int = 2

/** Milliseconds between sweeps for idle connections; idle limits are whole seconds. */
internal const val IDLE_SWEEP_MILLIS: Long = 500

/** Largest datagram that is accepted; the largest that UDP over IPv4 carries. */
internal const val DATAGRAM_LIMIT_BYTES: Int = 65_507
