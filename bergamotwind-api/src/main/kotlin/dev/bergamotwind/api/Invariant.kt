package dev.bergamotwind.api

/** The invariants of the system, by the identifiers of the design page. */
public enum class Invariant(
    /** What must hold. */
    public val statement: String,
) {
    MEMORY_NOT_OVERCOMMITTED("accelerator memory is never overcommitted"),
    MODEL_REACHABLE("every model stays reachable"),
    TEAM_ISOLATION("a request runs only for the team whose key came with it"),
    CREDENTIAL_NOT_FORWARDED("no target sees a caller's key"),
    REVOKED_KEY_STOPS("a revoked key stops working within seconds"),
    RATE_NOT_EXCEEDED("no team exceeds its rate and burst"),
    WHOLE_ANSWER("each caller receives the whole answer to its own request"),
    NOT_RUN_IS_TRUE("a refusal that says not run is true"),
    AT_MOST_ONCE("a non-idempotent request runs at most once"),
    LEAVING_TARGET_IDLE("a leaving target gets no new work"),
    GRACEFUL_STOP("a planned stop interrupts no request"),
    CONFIGURATION_MONOTONIC("an accepted configuration never reverts"),
    STATE_CHART_FOLLOWED("every state change is declared in its state chart"),
}
