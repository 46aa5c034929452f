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
internal val messageCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    preferCborLabelsOverNames = true
    useDefiniteLengthEncoding = true
}

/** First message of either side: its identity, the protocol versions that it supports, and a nonce. */
@Serializable
internal class Hello(
    @CborLabel(1) val oldestVersion: Int,
    @CborLabel(2) val newestVersion: Int,
    @CborLabel(3) val id: String,
    @CborLabel(4) val failureDomain: String,
    @CborLabel(5) val address: String,
    @CborLabel(6) @ByteString val nonce: ByteArray,
)

/** Proves knowledge of the shared secret for this handshake and this direction. */
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
 * State of the sender, stamped with its hybrid logical clock. [acknowledgedDigest] is the sequence number of the last
 * digest that the sender has received on this link; this digest was made after that one. [newNames] extends the
 * name table of the link, to which [encodedItems] refer.
 */
@Serializable
internal class DigestMessage(
    @CborLabel(1) val clockMillis: Long,
    @CborLabel(2) val clockCounter: Int = 0,
    @CborLabel(3) val revision: Long = 0,
    @CborLabel(4) val freshnessAgeMillis: Long? = null,
    @CborLabel(5) val acknowledgedDigest: Long? = null,
    @CborLabel(6) val draining: Boolean = false,
    @CborLabel(7) val newNames: List<String> = emptyList(),
    @CborLabel(8) val encodedItems: List<Long> = emptyList(),
)

/** Asks for configuration changes after [afterRevision]. */
@Serializable
internal class ChangesRequest(@CborLabel(1) val afterRevision: Long, @CborLabel(2) val maximumBytes: Int)

/** Configuration changes as JSON, oldest first. */
@Serializable
internal class ChangesResponse(@CborLabel(1) val changes: List<String> = emptyList())
