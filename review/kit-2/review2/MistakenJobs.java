package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Two jobs that were submitted with a mistake fail on every machine. A sound job beside them has to run to its end. */
public final class MistakenJobs implements Main.Case {
    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        try (World world = new World(folder.resolve("record.txt"), List.of("dublin-north", "cork-quay", "galway-west"), 12, 8)) {
            world.useBaile();
            world.startCloud(20);
            world.cloud.capacity = 1;
            for (int i = 0; i < 3; i++) world.cloud.create(world.zones.get(i), false, 0);
            world.launchAll();
            if (!world.awaitHealthy(25)) return 2;
            World.Job sound = new World.Job("j-1", "depot-systems");
            sound.parts = 3;
            sound.cores = 8;
            sound.memGb = 22;
            sound.runS = 50;
            sound.imageGb = 1;
            sound.image = "recount";
            if (!world.submitUntilAccepted(sound)) return 2;
            while (world.starts.size() < sound.parts && world.now() < 40) world.sleep(0.2);
            if (world.starts.size() < sound.parts) return 2;
            for (int i = 2; i <= 3; i++) {
                World.Job job = new World.Job("j-" + i, "depot-systems");
                job.batchline = "council-orders";
                job.urgency = "high";
                job.parts = 4;
                job.cores = 4;
                job.memGb = 12;
                job.runS = 25;
                job.image = "orders";
                job.isMistaken = withTrouble;
                if (!world.submitUntilAccepted(job)) return 2;
            }
            while (sound.doneToldAt < 0 && world.now() < 110) {
                world.sleep(2);
                world.status(sound);
            }
            int killed = 0;
            for (String part : world.killedByReturn) if (part.startsWith("j-1/")) killed++;
            world.record.line("sound job done: %s; its tasks ended by returned machines: %d; starts: %s", sound.doneToldAt >= 0, killed, world.starts);
            world.recordLogs(60);
            if (sound.doneToldAt >= 0) return 0;
            return killed > 0 ? 1 : 2;
        }
    }
}
