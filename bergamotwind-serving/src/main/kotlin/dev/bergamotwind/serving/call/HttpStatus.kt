package dev.bergamotwind.serving.call

/** HTTP statuses of refusals. */
internal object HttpStatus {
    const val UNAUTHORIZED: Int = 401
    const val NOT_FOUND: Int = 404
    const val TOO_MANY_REQUESTS: Int = 429
    const val BAD_GATEWAY: Int = 502
    const val SERVICE_UNAVAILABLE: Int = 503
    const val GATEWAY_TIMEOUT: Int = 504
}
