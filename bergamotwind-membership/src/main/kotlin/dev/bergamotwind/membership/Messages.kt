// Messages between nodes. Integer labels keep them short; a node ignores labels that it does not know.
@file:Suppress("MatchingDeclarationName", "MagicNumber")
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bergamotwind.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborLabel

/** The encoding of all messages between nodes. */
internal val wire: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    preferCborLabelsOverNames = true
    useDefiniteLengthEncoding = true
}

/** First message of either side: who it is, which versions it speaks, and a nonce. */
@Serializable
internal class Hello(
    @CborLabel(1) val oldest: Int,
    @CborLabel(2) val newest: Int,
    @CborLabel(3) val id: String,
    @CborLabel(4) val failureDomain: String,
    @CborLabel(5) val address: String,
    @CborLabel(6) @ByteString val nonce: ByteArray,
)

/** Shows knowledge of the shared secret for this handshake and this direction. */
@Serializable
internal class Proof(@CborLabel(1) @ByteString val mac: ByteArray)

/** One message on an authenticated link; exactly one field is set. */
@Serializable
internal class LinkMessage(
    @CborLabel(1) val digestRequest: DigestMessage? = null,
    @CborLabel(2) val digestResponse: DigestMessage? = null,
    @CborLabel(3) val changesRequest: ChangesRequest? = null,
    @CborLabel(4) val changesResponse: ChangesResponse? = null,
)

/**
 * State of the sender. [echo] is the sequence number of the last digest that the sender has received on this link,
 * which dates this digest after that one. [names] extends the link's table of names, to which [items] refer.
 */
@Serializable
internal class DigestMessage(
    @CborLabel(1) val millis: Long,
    @CborLabel(2) val counter: Int = 0,
    @CborLabel(3) val revision: Long = 0,
    @CborLabel(4) val freshnessAgeMillis: Long? = null,
    @CborLabel(5) val echo: Long? = null,
    @CborLabel(6) val draining: Boolean = false,
    @CborLabel(7) val names: List<String> = emptyList(),
    @CborLabel(8) val items: List<Long> = emptyList(),
)

/** Asks for configuration changes after [revision]. */
@Serializable
internal class ChangesRequest(@CborLabel(1) val revision: Long, @CborLabel(2) val maximumBytes: Int)

/** Configuration changes as JSON, oldest first. */
@Serializable
internal class ChangesResponse(@CborLabel(1) val changes: List<String> = emptyList())
