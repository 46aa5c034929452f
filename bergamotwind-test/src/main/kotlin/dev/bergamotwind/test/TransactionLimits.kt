package dev.bergamotwind.test

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Transaction

/** Transaction limits of the platform. Tests would miss transactions over these limits if the fake accepted them. */
internal object TransactionLimits {
    private const val OPERATIONS_LIMIT = 128
    private const val VALUE_LIMIT_BYTES = 1_000_000

    fun validate(transaction: Transaction): Failure? {
        val operations = transaction.operations
        return when {
            operations.size > OPERATIONS_LIMIT -> invalid("a transaction has more than $OPERATIONS_LIMIT operations")

            operations.map { it.key }.toSet().size < operations.size -> invalid("a transaction changes a key twice")

            operations.any { it is Operation.Put && it.value.toByteArray().size > VALUE_LIMIT_BYTES } ->
                invalid("a value is larger than $VALUE_LIMIT_BYTES bytes")

            else -> null
        }
    }

    private fun invalid(message: String) = Failure.Invalid(message, "Split the transaction.")
}
