package lichenstage.fleet

import lichenstage.common.SECOND

/** The usual lag of the cloud's list of machines in the tests of the fleet, in microseconds. */
internal const val LIST_LAG_US = 4 * SECOND
