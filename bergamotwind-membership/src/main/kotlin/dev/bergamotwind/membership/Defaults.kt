package dev.bergamotwind.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time between two digest exchanges with a peer, unless the byte budget stretches it. */
public val DEFAULT_DIGEST_INTERVAL: Duration = 500.milliseconds

/** Bytes a second that a node may send to its peers, TCP/IP headers included; the limit of the target size. */
public const val DEFAULT_BYTES_PER_SECOND: Int = 5_000

/** Time without an answer after which a link is closed. Six digest intervals tell a frozen peer from a slow one. */
public val DEFAULT_SILENCE_LIMIT: Duration = 3.seconds

/** Time in which a connection must be authenticated. Latency between regions is about 20 ms. */
public val DEFAULT_HANDSHAKE_TIMEOUT: Duration = 2.seconds

/** Shortest wait before a peer is dialled again; it doubles with each failure. */
public val DEFAULT_SHORTEST_BACKOFF: Duration = 200.milliseconds

/** Longest wait before a peer is dialled again; with it a healed partition is noticed within 3 s. */
public val DEFAULT_LONGEST_BACKOFF: Duration = 2.seconds

/** Largest frame in bytes: a value of the key-value service, which is at most 1 MB, and its envelope. */
public const val DEFAULT_FRAME_LIMIT_BYTES: Int = 1_100_000

/** Links between two failure domains, so that the loss of one relay interrupts nothing. */
public const val DEFAULT_RELAYS: Int = 2

/** Bytes of the IPv4 and TCP headers of a segment with time stamps, counted for each frame. */
internal const val HEADER_BYTES: Int = 52

/** Shortest shared secret in bytes; a shorter one could be guessed from a recorded handshake. */
internal const val SHORTEST_SECRET_BYTES: Int = 16

/** Names after which a link is opened anew, which bounds the tables that both sides keep for it. */
internal const val NAME_LIMIT: Int = 50_000

/** Bytes of configuration changes asked for at once, so that a transfer does not delay digests by over a second. */
internal const val CHANGES_BYTES: Int = 4_000

/** Time after which an unchanged load report is sent again, to show that it is still current. */
internal val REFRESH_INTERVAL: Duration = 5.seconds

/** Time for which a deletion is kept to be sent; each link visits all items well within it. */
internal val TOMBSTONE_TIME: Duration = 60.seconds

/** Estimate of the bytes of a digest without items, with its frame and headers. */
internal const val BARE_DIGEST_BYTES: Int = 120

/** Bytes of items that a digest may always carry; with many links the interval is stretched instead. */
internal const val SHORTEST_BATCH_BYTES: Int = 60

/** Digest intervals between two summaries of a failure domain; other domains decide on sums, which change slowly. */
internal const val SUMMARY_INTERVALS: Int = 4

/** Digests whose send times a link remembers to date what a peer answers. */
internal const val REMEMBERED_SENDS: Int = 32

/** Time between two looks of the membership duty at what is due. */
internal val TICK_INTERVAL: Duration = 50.milliseconds

/** Most nodes that exchange digests in a full mesh. */
public const val DEFAULT_MESH_LIMIT: Int = 24
