package dev.bergamotwind.serving.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a VM knows about the request limit of one target, and how many requests it has sent there under a limit. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class SendLimitReport(
    /** Requests a second that the target takes from all VMs together, or null when its limit has ended. */
    @CborLabel(0)
    val limitPerSecond: Double? = null,
    /**
     * Milliseconds since the sender itself observed this in an answer of the target, or null when it knows it from
     * other VMs. What is known from others is not passed on with an age, because the ages would lack the delays.
     */
    @CborLabel(1)
    val evidenceAgeMillis: Long? = null,
    /** Requests that the sender has sent since it knows the target, as far as they were limited. */
    @CborLabel(2)
    val sentRequests: Double = 0.0,
)
