package dev.bergamotwind.routing

/** Result of [ClaimStore.claim] that is not an error. */
public sealed interface ClaimOutcome {
    /** The call may be sent once under [claim]. */
    public data class Acquired(val claim: Claim) : ClaimOutcome

    /** The call has run before with the same body; [answer] goes to the caller and nothing is sent. */
    public data class AlreadyDone(val answer: RecordedAnswer) : ClaimOutcome
}
