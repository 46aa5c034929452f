package dev.bergamotwind.api

/** Whether a transaction was applied, and the revision of the key-value service after it. */
public data class TransactionResult(val applied: Boolean, val revision: Revision)
