package dev.bergamotwind.serving.store

/** Why a call to the platform's store had no effect, or may have had one. */
public enum class StoreFailure {
    /** The condition of a change does not hold. Nothing was written. */
    CONFLICT,

    /** The item or lease does not exist. Nothing was written. */
    MISSING,

    /** The history from the asked revision on is gone; read everything again. */
    HISTORY_GONE,

    /** The store refuses the call now. Nothing was done; repeat later. */
    REFUSED,

    /** No answer came; a change may have been made or may be made later. Read back to learn which. */
    UNKNOWN,
}
