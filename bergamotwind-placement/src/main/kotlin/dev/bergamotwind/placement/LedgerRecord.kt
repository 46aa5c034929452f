package dev.bergamotwind.placement

import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId

/** A ledger read from the key-value service; [revision] is null if the service has no record of it yet. */
public data class LedgerRecord(val target: TargetId, val ledger: MemoryLedger, val revision: Revision? = null)
