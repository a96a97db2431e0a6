package lichenstage.drain

import lichenstage.common.SECOND

/** A cluster as drains see it, set by hand. */
internal class FakeCluster : DrainView {
    override var isComplete = true
    val conditions = HashMap<String, MachineCondition>()
    val tasks = HashMap<String, MutableList<RunningTask>>()
    val waiting = HashSet<TaskId>()
    val faulty = HashSet<String>()

    fun machine(
        name: String,
        vararg running: RunningTask,
    ) {
        conditions[name] = MachineCondition.HEALTHY
        tasks[name] = running.toMutableList()
    }

    /** The task is stopped, and waits. */
    fun stop(task: TaskId) {
        tasks.values.forEach { rows -> rows.removeIf { it.task == task } }
        waiting += task
    }

    /** The task runs again as [attempt]. */
    fun restart(
        machine: String,
        task: RunningTask,
        attempt: Long,
    ) {
        waiting -= task.task
        tasks.getValue(machine) += task.copy(attempt = attempt)
    }

    override fun condition(machine: String) = conditions[machine] ?: MachineCondition.ABSENT

    override fun tasksOn(machine: String) = tasks[machine].orEmpty()

    override fun execution(task: TaskId): TaskExecution {
        val running = tasks.values.flatten().firstOrNull { it.task == task }
        return when {
            running != null -> TaskExecution.Running(running.attempt)
            task in waiting -> TaskExecution.NotRunning
            else -> TaskExecution.Finished
        }
    }

    override fun runningByTeam() =
        tasks.values
            .flatten()
            .groupingBy { it.team }
            .eachCount()

    override fun isFaulty(machine: String) = machine in faulty

    companion object {
        fun task(
            job: Int,
            index: Int = 0,
            team: String = "red",
            remainingS: Long = 300,
            lostS: Long = 60,
            jobClass: String = "batch",
        ) = RunningTask(TaskId("j-$job", index), 1, team, jobClass, true, remainingS * SECOND, lostS * SECOND)
    }
}
