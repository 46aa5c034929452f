package dev.bergamotwind.membership

import dev.bergamotwind.api.ModelId

/** Sum of the load of the targets in a failure domain that hold [model]. */
public data class ModelLoad(val model: ModelId, val targets: Int, val running: Int, val queued: Int)
