package dev.bergamotwind.serving.peer

/** The VMs that may send requests to a target which limits the requests of all VMs together. */
internal class SenderGroup(
    /** True when this VM is one of them. */
    val includesThisVm: Boolean,
    /** Number of these VMs, at least one. */
    val size: Int,
    /** Number of them that are reachable, this VM included. */
    val reachable: Int,
    /** Number of them whose last heartbeat is not older than the longest interval, this VM included. */
    val recentlyHeard: Int,
)
