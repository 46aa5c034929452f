package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.call.PromptPartId

/** An engine that ended without notice while requests of this VM ran there. */
internal class EngineCrash(
    /** The same at all VMs that observe this crash. */
    val id: EngineCrashId,
    val target: TargetId,
    /** Time at which the first connection ended. */
    val crashedMillis: Long,
    /** Prompt parts of the requests that may have caused it. */
    val suspectParts: Set<PromptPartId>,
)
