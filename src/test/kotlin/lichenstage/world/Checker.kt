package lichenstage.world

/** Watches a simulated world from outside and notes every broken rule of the protocol. */
class Checker(
    private val limits: Map<String, Double>,
    private val cancelUs: Long,
) {
    private class Running(
        val machine: String,
        val job: SimJob,
    )

    private val on = HashMap<String, MutableList<Running>>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val cancelled = HashMap<String, Long>()
    private val used = HashMap<String, Double>()
    val broken = ArrayList<String>()
    var starts = 0
        private set

    /** Tasks that were killed because their machine's lease ran out. */
    var lost = 0

    fun started(
        machine: String,
        job: SimJob,
        index: Int,
        now: Long,
    ) {
        starts++
        val key = "${job.id}/$index"
        val there = on.getOrPut(key) { ArrayList() }
        if (there.any { it.machine != machine }) broken += "ran_twice: $key on $machine and ${there[0].machine} at $now"
        there += Running(machine, job)
        val total = used.merge(job.team, job.cores, Double::plus)!!
        if (total > limits.getValue(job.team) + 1e-6) broken += "quota: ${job.team} uses $total at $now"
        cancelled[job.id]?.let { if (now - it > cancelUs) broken += "ran_cancelled: $key started at $now" }
    }

    fun ended(
        machine: String,
        job: SimJob,
        index: Int,
        done: Boolean,
    ) {
        val there = on["${job.id}/$index"] ?: return
        val over = there.count { it.machine == machine }
        there.removeIf { it.machine == machine }
        used.merge(job.team, -job.cores * over, Double::plus)
        if (done) completed.getOrPut(job.id) { HashSet() } += index
    }

    fun toldCancelled(
        job: SimJob,
        now: Long,
    ) {
        cancelled[job.id] = now
    }

    fun toldDone(
        job: SimJob,
        now: Long,
    ) {
        val count = completed[job.id]?.size ?: 0
        if (count < job.tasks) broken += "not_done: ${job.id} called done with $count of ${job.tasks} at $now"
        if (job.id in cancelled) broken += "went_back: ${job.id} was cancelled"
    }

    /** Tasks of the job on machines now. */
    fun running(job: String) = on.filterKeys { it.substringBefore('/') == job }.values.sumOf { it.size }

    /** To be asked now and then: nothing of a cancelled job may be left after its time. */
    fun sweep(now: Long) {
        for ((key, there) in on) {
            val at = cancelled[key.substringBefore('/')] ?: continue
            if (there.isNotEmpty() && now - at > cancelUs) broken += "ran_cancelled: $key still on ${there[0].machine} at $now"
        }
    }
}

data class SimJob(
    val id: String,
    val team: String,
    val tasks: Int,
    val cores: Double,
    val runUs: Long,
    val stamp: Long,
)
