package dev.bergamotwind.membership

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.TargetId

/**
 * State of a target that peers receive: its load, its loaded artifacts and its warm prefixes. [observedNanos] is
 * the time on this node's monotonic clock at which the report was read, or before.
 */
public data class TargetDigest(
    val target: TargetId,
    val observedNanos: Long,
    val running: Int,
    val queued: Int,
    val leaving: Boolean = false,
    val loaded: List<Artifact> = emptyList(),
    val warmPrefixes: List<String> = emptyList(),
) {
    /** Builds digests of reports. */
    public companion object {
        /** Returns the digest of [report], read at [observedNanos]. */
        public fun of(report: EngineReport, observedNanos: Long): TargetDigest = TargetDigest(
            report.target,
            observedNanos,
            report.running,
            report.queued,
            report.leaving,
            report.artifacts.filter { it.state == ArtifactState.LOADED }.map { it.artifact },
            report.warmPrefixes,
        )
    }
}
