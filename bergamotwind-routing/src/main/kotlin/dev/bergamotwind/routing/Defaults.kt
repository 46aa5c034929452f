package dev.bergamotwind.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Largest body stored in a claim record; as base64 with the other fields it stays well below the 1 MB limit of a value.
 */
public const val RECORDED_BODY_LIMIT_BYTES: Int = 256 * 1024

/** Longest accepted Idempotency-Key. */
public const val IDEMPOTENCY_KEY_LIMIT_CHARACTERS: Int = 255

/** Time for which new claim records use the same lease, so that a process grants about one lease an hour. */
public val CLAIM_LEASE_REUSE_TIME: Duration = 1.hours

/** Time to live of a claim lease: 24 h of retention, plus [CLAIM_LEASE_REUSE_TIME], plus a margin for clock drift. */
public val CLAIM_LEASE_TIME_TO_LIVE: Duration = 25.hours + 10.minutes

/** Greatest age at which a call may still be sent under a claim; far below the retention of the claim record. */
public val MAXIMUM_CLAIM_AGE_BEFORE_SEND: Duration = 10.minutes

/** Time to live of the presence record, which shows that a claiming process is alive. */
public val PRESENCE_TIME_TO_LIVE: Duration = 30.seconds

/** Time between keep-alives of the presence record; two in a row may be lost. */
public val PRESENCE_KEEP_ALIVE_INTERVAL: Duration = 10.seconds

/** Minimum time between attempts to write a presence record, so that an outage does not add a call to each claim. */
public val PRESENCE_ATTEMPT_INTERVAL: Duration = 1.seconds

/** A process that has made no claim for this long stops renewing its presence record, to save calls. */
public val PRESENCE_IDLE_LIMIT: Duration = 1.hours

/** Attempts, within one call, to confirm a claim write whose response was lost. */
public const val CLAIM_WRITE_ATTEMPTS: Int = 3

/**
 * Claim writes queued for retry during an outage. Above the limit the oldest are dropped; repeats then get "unknown".
 */
public const val PENDING_CLAIM_WRITE_LIMIT: Int = 256

/** Retry-After for a repeated call while the first call is in progress. */
public val IN_PROGRESS_RETRY_AFTER: Duration = 2.seconds

/**
 * First-token time assumed for a target that has not answered yet; below the latency goal, so that it gets requests.
 */
public val ASSUMED_FIRST_TOKEN_TIME: Duration = 100.milliseconds

/** Weight of a new first-token observation in the exponential moving average. */
public const val FIRST_TOKEN_SMOOTHING_FACTOR: Double = 0.2

/** Fraction by which each running request of a continuous batch delays the first token of the next request. */
public const val RUNNING_REQUEST_COST: Double = 0.1

/** Fraction by which each queued request delays the first token of the next request, which is served after it. */
public const val QUEUED_REQUEST_COST: Double = 1.0

/** Delay of a load report; this node's own calls that started within it are not yet included in the report. */
public val REPORT_LAG: Duration = 500.milliseconds

/** Starts and ends of this node's own calls kept per target to correct its delayed report. */
public const val LOAD_CORRECTION_LIMIT: Int = 256

/** After this time without an accepted report, an older timestamp is accepted: the target's clock was changed. */
public val REPORT_ORDER_TIMEOUT: Duration = 10.seconds

/** Time saved by a warm prefix: the prefill of a prompt of a few hundred tokens. */
public val WARM_PREFIX_BONUS: Duration = 80.milliseconds

/** Bonus for the target to which a prefix hashes: repeats go to one target before the delayed cache events arrive. */
public val HOME_PREFIX_BONUS: Duration = 40.milliseconds

/** A target whose load exceeds this multiple of the mean load gets no prefix bonus. */
public const val PREFIX_LOAD_BOUND: Double = 1.25

/** Time to load an absent adapter while fewer loads are in flight than the limit beyond which loads slow down. */
public val ADAPTER_LOAD_TIME: Duration = 20.milliseconds

/** Average remaining time until an adapter that is being loaded can be used. */
public val ADAPTER_REMAINING_LOAD_TIME: Duration = 10.milliseconds

/** Round-trip time to another failure domain of the same region. */
public val SAME_REGION_DISTANCE: Duration = 3.milliseconds

/** Round-trip time to another region (40 ms), plus 160 ms because traffic between regions is billed by volume. */
public val OTHER_REGION_DISTANCE: Duration = 200.milliseconds

/** Score penalty of a suspect target. */
public val SUSPECT_PENALTY: Duration = 200.milliseconds

/** Scores that differ by less are tied: nodes with the same reports must not all choose the same target. */
public val SCORE_TOLERANCE: Duration = 2.milliseconds

/** Consecutive failures after which a target is ejected. */
public const val EJECTION_FAILURE_THRESHOLD: Int = 3

/** Duration of the first ejection of a target; each further ejection lasts twice as long as the previous one. */
public val INITIAL_EJECTION: Duration = 5.seconds

/** Greatest duration of an ejection. */
public val MAX_EJECTION: Duration = 5.minutes

/** Time after which a leaving signal from an X-Draining refusal or from a peer expires. */
public val LEAVING_SIGNAL_LIFETIME: Duration = 30.seconds

/** Time for which requests may still start at a leaving target: it was selected before the signal arrived. */
public val LEAVING_GRACE_PERIOD: Duration = 3.seconds

/** Number of calls that allow one retry or hedged request. */
public const val CALLS_PER_RETRY: Int = 10

/** Limit of accumulated unused retries, so that a quiet hour does not permit a burst of retries. */
public const val MAX_SAVED_RETRIES: Int = 20

/** Percentile of the first-token time after which a hedged request is sent. */
public const val HEDGE_PERCENTILE: Double = 95.0

/** Observations needed for a meaningful percentile. */
public const val MIN_HEDGE_OBSERVATIONS: Long = 100

/** Length of an observation window; observations of the current and the previous window are used. */
public val HEDGE_WINDOW: Duration = 1.minutes

/** Minimum delay of a hedged request: with a shorter delay, the second answer is not faster. */
public val MIN_HEDGE_DELAY: Duration = 20.milliseconds

/** Largest first-token time that the histogram records; longer ones are recorded as this value. */
public val MAX_HEDGE_OBSERVATION: Duration = 5.minutes

/** Bytes of one shared run that are buffered for its subscribers. */
public const val SHARED_RUN_LIMIT_BYTES: Int = 1024 * 1024

/** Largest server-sent event that is accepted from a target. */
public const val STREAM_EVENT_LIMIT_BYTES: Int = 1024 * 1024
