package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/**
 * Decodes [bytes] that another VM, or somebody else, has sent or written; returns a description of an error on the
 * left. Nothing is thrown: a list of bytes that declares a length of 2 GB exhausts the heap before it is read.
 */
@Suppress("TooGenericExceptionCaught")
internal fun <T> BinaryFormat.decode(deserializer: DeserializationStrategy<T>, bytes: ByteArray): Either<String, T> =
    try {
        decodeFromByteArray(deserializer, bytes).right()
    } catch (fault: SerializationException) {
        fault.message.orEmpty().left()
    } catch (fault: Throwable) {
        fault.toString().left()
    }
