package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact

/** A request to a [VirtualEngine]; [onEnd] is called once, with true if the answer is complete. */
internal class VirtualCall(
    val model: Artifact,
    val adapter: Artifact?,
    val record: TraceRecord,
    val onFirstToken: () -> Unit,
    val onEnd: (Boolean) -> Unit,
)
