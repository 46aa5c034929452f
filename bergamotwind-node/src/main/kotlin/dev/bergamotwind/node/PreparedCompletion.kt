package dev.bergamotwind.node

import com.linecorp.armeria.common.RequestHeaders
import dev.bergamotwind.admission.AccessGrant

/** A completion request that has been checked: what to send, for whom, and the key that must not be sent. */
internal class PreparedCompletion(
    val headers: RequestHeaders,
    val credential: String?,
    val request: CompletionRequest,
    val access: AccessGrant,
)
