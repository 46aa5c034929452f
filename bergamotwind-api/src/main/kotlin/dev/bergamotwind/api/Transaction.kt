package dev.bergamotwind.api

/** Applies all [operations] atomically if all [compares] hold, and nothing otherwise. */
public data class Transaction(val compares: List<Compare>, val operations: List<Operation>)
