package dev.bergamotwind.routing

/** Successful result of [ClaimStore.claim]. */
public sealed interface ClaimOutcome {
    /** The call may be sent once under [claim]. */
    public data class Acquired(val claim: Claim) : ClaimOutcome

    /** A call with the same key and body has already run; [answer] goes to the caller and nothing is sent. */
    public data class AlreadyDone(val answer: RecordedAnswer) : ClaimOutcome
}
