package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact

/** A request at a [VirtualEngine]; [ended] is called once, with whether the whole answer was given. */
internal class VirtualCall(
    val model: Artifact,
    val adapter: Artifact?,
    val record: TraceRecord,
    val firstToken: () -> Unit,
    val ended: (Boolean) -> Unit,
)
