package dev.bergamotwind.serving.store

import arrow.core.Either

/** Receives the result of a call to the platform's store, on the serving loop. */
public typealias StoreReply<T> = (Either<StoreFailure, T>) -> Unit
