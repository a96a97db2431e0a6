package review2;

import java.nio.file.Path;
import java.util.List;

/**
 * No machine is up. The one that the cloud gives for the first job is faulty: every task fails on it. All other machines of the cloud are
 * sound, and it has room for more. A chain of three jobs has to run on one of them.
 */
public final class FaultyMachine implements Main.Case {
    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        double endS = Double.parseDouble(System.getenv().getOrDefault("END_S", "110"));
        try (World world = new World(folder.resolve("record.txt"), List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room"), 48, 16)) {
            world.useTsetseg();
            world.startCloud(2);
            world.isFirstMachineFaulty = withTrouble;
            world.launchAll();
            if (!world.awaitHealthy(25)) return 2;
            World.Job last = null;
            for (int i = 1; i <= 3; i++) {
                World.Job job = new World.Job("j-" + i, "clinic-liaison");
                job.batchline = "chair-roster";
                job.parts = 3;
                job.cores = 4;
                job.memGb = 25;
                job.runS = 10;
                job.imageGb = 1;
                job.image = "roster-" + i;
                if (last != null) job.waitsOn = List.of(last.uid);
                if (!world.submitUntilAccepted(job)) return 2;
                last = job;
            }
            while (last.doneToldAt < 0 && world.now() < endS) {
                world.sleep(2);
                world.status(last);
            }
            world.record.line(
                    "last job done: %s; machines that were rented: %s; machines on which tasks ran: %s; starts: %s",
                    last.doneToldAt >= 0, world.cloud.machines.keySet(), world.usedMachines, world.starts);
            world.recordLogs(20);
            if (last.doneToldAt >= 0) return 0;
            // Slow is not lost: broken only where the jobs have never been tried on another machine than the faulty one.
            return world.usedMachines.size() == 1 ? 1 : 2;
        }
    }
}
