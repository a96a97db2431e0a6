package lichenstage.drain

import lichenstage.common.SECOND

/** A [DrainView] whose machines and tasks are set by the test. */
internal class FakeCluster : DrainView {
    override var isComplete = true
    val conditions = HashMap<String, MachineCondition>()
    val tasks = HashMap<String, MutableList<PlacedTask>>()
    val waitingTasks = HashSet<TaskId>()
    val faultyMachines = HashSet<String>()

    fun addMachine(
        name: String,
        vararg running: PlacedTask,
    ) {
        conditions[name] = MachineCondition.HEALTHY
        tasks[name] = running.toMutableList()
    }

    /** Stops the task, which then waits to be started again. */
    fun stopTask(taskId: TaskId) {
        tasks.values.forEach { rows -> rows.removeIf { it.taskId == taskId } }
        waitingTasks += taskId
    }

    /** Starts [task] on [machine] again as [attempt]. */
    fun restartTask(
        machine: String,
        task: PlacedTask,
        attempt: Long,
    ) {
        waitingTasks -= task.taskId
        tasks.getValue(machine) += task.copy(attemptNumber = attempt)
    }

    override fun condition(machine: String) = conditions[machine] ?: MachineCondition.ABSENT

    override fun tasksOn(machine: String) = tasks[machine].orEmpty()

    override fun execution(taskId: TaskId): TaskExecution {
        val running = tasks.values.flatten().firstOrNull { it.taskId == taskId }
        return when {
            running != null -> TaskExecution.Running(running.attemptNumber)
            taskId in waitingTasks -> TaskExecution.NotRunning
            else -> TaskExecution.Finished
        }
    }

    override fun runningTasksByTeam() =
        tasks.values
            .flatten()
            .groupingBy { it.team }
            .eachCount()

    override fun isFaulty(machine: String) = machine in faultyMachines

    companion object {
        fun task(
            job: Int,
            index: Int = 0,
            team: String = "red",
            remainingS: Long = 300,
            lostS: Long = 60,
            jobClass: String = "batch",
        ) = PlacedTask(TaskId("j-$job", index), 1, team, jobClass, true, remainingS * SECOND, lostS * SECOND)
    }
}
