package dev.bergamotwind.replay

/** Weight store on virtual time: limited starts a second, and slower loads when more run than it is made for. */
internal class WeightStore(private val clock: VirtualClock, private val deployment: Deployment) {
    private var nextStartMillis = 0L
    private var running = 0
    private var adaptersRunning = 0

    /** Factor by which loads take longer. */
    var slowdown: Int = 1

    /** Loads a model of [memoryMib] and then calls [done]. */
    fun load(memoryMib: Long, done: () -> Unit) {
        val start = maxOf(clock.wallMillis(), nextStartMillis)
        nextStartMillis = start + (MILLIS_PER_SECOND / deployment.storeLoadsPerSecond).toLong()
        clock.at(start) {
            running++
            val crowding = maxOf(1.0, running.toDouble() / deployment.storeConcurrentLoads)
            clock.after((memoryMib / MEBIBYTES_PER_MILLISECOND * slowdown * crowding).toLong()) {
                running--
                done()
            }
        }
    }

    /** Loads an adapter and then calls [done]. */
    fun loadAdapter(done: () -> Unit) {
        adaptersRunning++
        val crowding = maxOf(1.0, adaptersRunning.toDouble() / deployment.adapterLoadsInFlight)
        clock.after((ADAPTER_MILLIS * crowding * slowdown).toLong()) {
            adaptersRunning--
            done()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // 2.5 GiB a second: a model of 20 GiB takes 8 s.
        const val MEBIBYTES_PER_MILLISECOND = 2.56
        const val ADAPTER_MILLIS = 20
    }
}
