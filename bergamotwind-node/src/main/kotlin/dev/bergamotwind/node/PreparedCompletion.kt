package dev.bergamotwind.node

import com.linecorp.armeria.common.RequestHeaders
import dev.bergamotwind.admission.AccessGrant

/** A validated, authorized completion request. [credential] is the caller's key, which must not be sent to a target. */
internal class PreparedCompletion(
    val headers: RequestHeaders,
    val credential: String?,
    val request: CompletionRequest,
    val access: AccessGrant,
)
