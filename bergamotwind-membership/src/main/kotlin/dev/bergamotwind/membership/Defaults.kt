package dev.bergamotwind.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time between two digest exchanges with a peer, unless the byte budget extends it. */
public val DEFAULT_DIGEST_INTERVAL: Duration = 500.milliseconds

/** Bytes a second that a node may send to its peers, TCP/IP headers included; the limit at the target fleet size. */
public const val DEFAULT_BYTES_PER_SECOND: Int = 5_000

/** Time without a response after which a link is closed. Six digest intervals tell a frozen peer from a slow one. */
public val DEFAULT_PEER_TIMEOUT: Duration = 3.seconds

/** Time in which a connection must be authenticated. Latency between regions is about 20 ms. */
public val DEFAULT_HANDSHAKE_TIMEOUT: Duration = 2.seconds

/** Initial wait before a peer is dialled again; it doubles with each failure. */
public val DEFAULT_INITIAL_BACKOFF: Duration = 200.milliseconds

/** Longest wait before a peer is dialled again; it lets nodes detect a healed partition within 3 s. */
public val DEFAULT_MAX_BACKOFF: Duration = 2.seconds

/** Largest frame in bytes: a value of the key-value service, which is at most 1 MB, and its envelope. */
public const val DEFAULT_MAX_FRAME_BYTES: Int = 1_100_000

/** Relays per side between two failure domains: with two, the loss of one relay interrupts nothing. */
public const val DEFAULT_RELAYS: Int = 2

/** Bytes of the IPv4 and TCP headers of a segment with time stamps, counted for each frame. */
internal const val TCP_IP_HEADER_BYTES: Int = 52

/** Minimum length of the shared secret; a shorter one could be guessed from a recorded handshake. */
internal const val MIN_SECRET_BYTES: Int = 16

/** Number of names after which a link is reopened, which bounds the name tables that both sides keep for it. */
internal const val MAX_NAMES_PER_LINK: Int = 50_000

/** Bytes of configuration changes requested at once, so that a transfer delays digests by at most about a second. */
internal const val MAX_CHANGES_RESPONSE_BYTES: Int = 4_000

/** Time after which an unchanged load report is sent again, to show that it is still current. */
internal val LOAD_REFRESH_INTERVAL: Duration = 5.seconds

/** Time for which the tombstone of a deleted item is kept; each link visits all items well within it. */
internal val TOMBSTONE_RETENTION: Duration = 60.seconds

/** Estimated bytes of a digest without items, with its frame and headers. */
internal const val DIGEST_OVERHEAD_BYTES: Int = 120

/** Bytes of items that a digest may always carry; with many links the interval is extended instead. */
internal const val MIN_BATCH_BYTES: Int = 60

/** Digest intervals between two summaries of a failure domain; other domains decide on sums, which change slowly. */
internal const val DIGEST_INTERVALS_PER_SUMMARY: Int = 4

/** Sent digests whose send times a link keeps, to date the peer's responses. */
internal const val MAX_TRACKED_DIGESTS: Int = 32

/** Time between two checks of the membership worker for due work. */
internal val TICK_INTERVAL: Duration = 50.milliseconds

/** Largest number of nodes that exchange digests in a full mesh. */
public const val DEFAULT_MAX_MESH_NODES: Int = 24
