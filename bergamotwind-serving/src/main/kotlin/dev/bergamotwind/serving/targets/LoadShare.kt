package dev.bergamotwind.serving.targets

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What one VM has under way at one target. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class LoadShare(
    /** Requests that have been sent and not been answered whole. */
    @CborLabel(0)
    val requests: Int = 0,
    /** Milliseconds of prompt reading that requests without a first event need. */
    @CborLabel(1)
    val promptMillis: Int = 0,
    /** Tokens that the requests are expected to occupy at their end. */
    @CborLabel(2)
    val memoryTokens: Int = 0,
) {
    /** Returns the sum. */
    public operator fun plus(other: LoadShare): LoadShare = LoadShare(
        requests + other.requests,
        promptMillis + other.promptMillis,
        memoryTokens + other.memoryTokens,
    )
}
