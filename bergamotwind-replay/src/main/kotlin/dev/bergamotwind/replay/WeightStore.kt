package dev.bergamotwind.replay

/** Weight store on virtual time. It limits load starts a second, and loads slow down above its concurrency limit. */
internal class WeightStore(private val clock: VirtualClock, private val deployment: Deployment) {
    private var nextStartMillis = 0L
    private var loadingModels = 0
    private var loadingAdapters = 0

    /** Factor by which the duration of loads is multiplied. */
    var slowdown: Int = 1

    /** Loads a model of [memoryMib] and then calls [onLoaded]. */
    fun loadModel(memoryMib: Long, onLoaded: () -> Unit) {
        val start = maxOf(clock.wallMillis(), nextStartMillis)
        nextStartMillis = start + (MILLIS_PER_SECOND / deployment.storeLoadsPerSecond).toLong()
        clock.scheduleAt(start) {
            loadingModels++
            val contention = maxOf(1.0, loadingModels.toDouble() / deployment.storeConcurrentLoads)
            clock.scheduleAfter((memoryMib / MEBIBYTES_PER_MILLISECOND * slowdown * contention).toLong()) {
                loadingModels--
                onLoaded()
            }
        }
    }

    /** Loads an adapter and then calls [onLoaded]. */
    fun loadAdapter(onLoaded: () -> Unit) {
        loadingAdapters++
        val contention = maxOf(1.0, loadingAdapters.toDouble() / deployment.adapterLoadsInFlight)
        clock.scheduleAfter((ADAPTER_MILLIS * contention * slowdown).toLong()) {
            loadingAdapters--
            onLoaded()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // 2.5 GiB a second: a model of 20 GiB takes 8 s.
        const val MEBIBYTES_PER_MILLISECOND = 2.56
        const val ADAPTER_MILLIS = 20
    }
}
