package dev.bergamotwind.serving.crash

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** The item of a refused prompt part in the platform's store. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class StoredPromptPart(
    @CborLabel(0)
    val report: PromptPartReport,
    /** Unix time in milliseconds at which the ages of [report] held, by the clock of the VM that wrote it. */
    @CborLabel(1)
    val writtenWallMillis: Long,
)
