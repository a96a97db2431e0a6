package lichenstage.state

/** The outcome of writing keys that only one process writes. */
enum class WriteOutcome {
    /** All changes are known to be committed. */
    COMMITTED,

    /** The state service refused a transaction as invalid. The same transaction would be refused again. */
    INVALID,

    /** The changes are not known to be committed. The write can be repeated. */
    FAILED,
}
