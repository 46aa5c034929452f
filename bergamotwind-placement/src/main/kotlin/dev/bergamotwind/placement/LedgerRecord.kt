package dev.bergamotwind.placement

import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId

/** A ledger as read from the key-value service; [revision] is null while the record does not exist. */
public data class LedgerRecord(val target: TargetId, val ledger: MemoryLedger, val revision: Revision? = null)
