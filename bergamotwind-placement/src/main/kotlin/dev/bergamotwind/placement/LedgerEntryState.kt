package dev.bergamotwind.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an entry of a [MemoryLedger]. Every state counts as used memory. */
@Serializable
public enum class LedgerEntryState {
    /** Memory is reserved; a load order may have been sent. */
    @SerialName("reserved")
    RESERVED,

    /** The engine reports that it is loading the artifact. */
    @SerialName("loading")
    LOADING,

    /** The engine has reported the artifact as loaded. */
    @SerialName("loaded")
    LOADED,

    /** An unload order may have been sent. */
    @SerialName("unloading")
    UNLOADING,
}
