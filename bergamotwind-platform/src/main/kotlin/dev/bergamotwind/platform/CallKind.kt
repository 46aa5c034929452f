package dev.bergamotwind.platform

/**
 * The calls to the platform. A [repeatable] call has the same effect when it is sent twice, so it may go to another
 * endpoint after an attempt with an unknown outcome. A call that only [reads] fails as unavailable, any other one
 * as a write with an unknown outcome.
 */
internal enum class CallKind(val path: String, val reads: Boolean, val repeatable: Boolean) {
    RANGE("/v3/kv/range", true, true),
    TRANSACT("/v3/kv/txn", false, false),
    GRANT_LEASE("/v3/lease/grant", false, false),
    KEEP_ALIVE("/v3/lease/keepalive", false, true),
    REVOKE_LEASE("/v3/lease/revoke", false, true),
    WATCH("/v3/watch", true, true),
    VIRTUAL_MACHINES("/vms", true, true),
    ;

    val label: String = name.lowercase()
}
