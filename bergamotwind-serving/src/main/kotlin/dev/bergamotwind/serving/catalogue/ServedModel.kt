package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ModelId

/** A model that the engines of a service can load. Times are in milliseconds, sizes in megabytes. */
public data class ServedModel(
    val id: ModelId,
    val weightsMegabytes: Double,
    val adapterMegabytes: Double,
    /** Load time from the weight store while few loads run. */
    val storeLoadMillis: Long,
    /** Load time from the disk of the target. */
    val diskLoadMillis: Long,
    /** Load time from the host memory of the target. */
    val memoryLoadMillis: Long,
)
