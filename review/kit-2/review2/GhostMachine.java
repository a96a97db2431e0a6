package review2;

import java.nio.file.Path;
import java.util.List;

/**
 * The only machine of a zone, a spot machine, is taken without a notice while the tasks of an accepted job run on it that is
 * bound to the zone. Then the controller that owns
 * its zone crashes and comes back. The job has to run on another machine; the cloud has room for more.
 */
public final class GhostMachine implements Main.Case {
    private static final double CRASH_AFTER_S = 2;
    private static final double BACK_AFTER_S = 3;

    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        double endS = Double.parseDouble(System.getenv().getOrDefault("END_S", "110"));
        try (World world = new World(folder.resolve("record.txt"), List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room"), 48, 16)) {
            world.useTsetseg();
            world.startCloud(2);
            world.launchAll();
            if (!world.awaitHealthy(25)) return 2;
            while (world.leader() < 0 && world.now() < 25) world.sleep(0.2);
            int leader = world.leader();
            if (leader < 0) return 2;
            World.Job job = new World.Job("j-1", "clinic-liaison");
            job.batchline = "chair-roster";
            job.parts = 2;
            job.cores = 4;
            job.memGb = 25;
            job.runS = 20;
            job.imageGb = 1;
            // The job is bound to a zone, and another controller than the leader is at home there.
            job.yard = world.zones.get(leader == 1 ? 2 : 1);
            if (!world.submitUntilAccepted(job)) return 2;
            while (world.starts.size() < job.parts && world.now() < 40) world.sleep(0.1);
            if (world.starts.size() < job.parts) return 2;
            world.sleep(3);
            List<Worker> up = world.cloud.up().stream().filter(worker -> worker.zone.equals(job.yard)).toList();
            int owner = world.owner(job.yard);
            if (up.size() != 1 || !up.get(0).isSpot || owner < 0 || world.leader() != leader || owner == leader) return 2;
            if (withTrouble) {
                up.get(0).destroy("spot machine taken by the cloud without a notice");
                world.sleep(CRASH_AFTER_S);
                world.kill(owner);
                world.sleep(BACK_AFTER_S);
                world.launch(owner);
            }
            double freeFrom = world.now();
            while (job.doneToldAt < 0 && world.now() < endS) {
                world.sleep(2);
                world.status(job);
            }
            long later = world.cloud.machines.values().stream().filter(it -> it.zone.equals(job.yard) && it.createdAt > freeFrom).count();
            long left = world.cloud.up().stream().filter(it -> it.zone.equals(job.yard)).count();
            world.record.line(
                    "job done: %s; in its zone machines up: %d, rented since: %d; leader is the same: %s; starts: %s",
                    job.doneToldAt >= 0, left, later, world.leader() == leader, world.starts);
            world.recordLogs(20);
            if (job.doneToldAt >= 0) return 0;
            // Slow is not lost: the rule counts as broken only where nothing is under way for the job any more.
            return later == 0 && left == 0 ? 1 : 2;
        }
    }
}
