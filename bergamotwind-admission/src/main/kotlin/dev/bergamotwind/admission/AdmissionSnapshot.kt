package dev.bergamotwind.admission

/** State of admission at one point in time. [rates] holds the demand of each team, for digests and unit allocation. */
public data class AdmissionSnapshot(
    val queueLength: Int,
    val running: Int,
    val concurrencyLimit: Int,
    val teams: List<TeamAdmissionSnapshot>,
    val rates: List<RateSnapshot>,
)
