package dev.bergamotwind.membership

import dev.bergamotwind.api.ModelId

/** Total load of the targets in a failure domain that have [model] loaded. */
public data class ModelLoad(val model: ModelId, val targetCount: Int, val running: Int, val queued: Int)
