package review2;

import java.nio.file.Path;
import java.util.List;

/** The cloud has two machine types, and none of the cheaper one is left for a while. A job that may run on any type has to run. */
public final class SoldOutType implements Main.Case {
    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        double endS = Double.parseDouble(System.getenv().getOrDefault("END_S", "110"));
        try (World world = new World(folder.resolve("record.txt"), List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room"), 48, 16)) {
            world.useTsetseg();
            world.startCloud(2);
            world.cloud.secondBuild = "molar32";
            if (withTrouble) world.cloud.soldOut.add(world.buildName);
            world.launchAll();
            if (!world.awaitHealthy(25)) return 2;
            World.Job job = new World.Job("j-1", "clinic-liaison");
            job.batchline = "chair-roster";
            job.parts = 3;
            job.cores = 4;
            job.memGb = 25;
            job.runS = 15;
            job.imageGb = 1;
            if (!world.submitUntilAccepted(job)) return 2;
            while (job.doneToldAt < 0 && world.now() < endS) {
                world.sleep(2);
                world.status(job);
            }
            world.record.line("job done: %s; machines: %s; starts: %s", job.doneToldAt >= 0, world.cloud.machines.keySet(), world.starts);
            world.recordLogs(20);
            if (job.doneToldAt >= 0) return 0;
            return world.starts.isEmpty() ? 1 : 2;
        }
    }
}
