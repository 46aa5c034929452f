package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import java.net.InetSocketAddress

/** One start of a target: by its start time, or by what its entry says where that is not stated. */
internal data class TargetIncarnation(
    val target: TargetId,
    val startedWallMillis: Long?,
    val address: InetSocketAddress?,
    val service: ServiceId?,
) {
    companion object {
        /** Returns the start that has published [record]. */
        fun of(record: TargetRecord): TargetIncarnation = if (record.startedWallMillis == null) {
            TargetIncarnation(record.id, null, record.address, record.service)
        } else {
            TargetIncarnation(record.id, record.startedWallMillis, null, null)
        }
    }
}
