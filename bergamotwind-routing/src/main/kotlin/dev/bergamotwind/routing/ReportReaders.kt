package dev.bergamotwind.routing

import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import java.util.SplittableRandom

/** Divides the reading of load reports among the nodes of a failure domain, so that each target is read by few. */
public object ReportReaders {
    /**
     * Returns the [count] nodes that read the report of [target], by rendezvous hashing over the domain's live [nodes]:
     * every node finds the same ones, and when a node leaves only its own targets get another reader.
     */
    public fun of(target: TargetId, nodes: Collection<VmId>, count: Int = REPORT_READERS): List<VmId> =
        nodes.sortedWith(compareByDescending<VmId> { weight(target, it) }.thenBy { it }).take(count)

    private fun weight(target: TargetId, node: VmId): Long {
        val seed = target.value.hashCode().toLong() shl Int.SIZE_BITS
        return SplittableRandom(seed xor (node.value.hashCode().toLong() and LOW_BITS)).nextLong()
    }

    private const val LOW_BITS = 0xFFFF_FFFFL
}
