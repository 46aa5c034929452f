package dev.bergamotwind.admission

/** State of admission at one moment. [rates] carries the demand of each team for digests and policy. */
public data class AdmissionSnapshot(
    val queueLength: Int,
    val running: Int,
    val concurrencyLimit: Int,
    val teams: List<TeamAdmissionSnapshot>,
    val rates: List<RateSnapshot>,
)
