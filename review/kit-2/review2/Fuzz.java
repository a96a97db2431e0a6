package review2;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/** Odd but allowed submissions. Not a case; used to look for one. */
public final class Fuzz implements Main.Case {
    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        Random random = new Random(Long.parseLong(System.getenv().getOrDefault("SEED", "1")));
        try (World world = new World(folder.resolve("record.txt"), List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room"), 48, 16)) {
            world.team("clinic-liaison", 160, 352);
            world.startCloud(2);
            world.launchAll();
            if (!world.awaitHealthy(25)) return 2;
            Object[] odd = {
                null, 0, 0.0, -1, 1e-9, 1e-7, 0.1, 1e9, 1e10, 1e308, 100000, 100001, 99999, 0.5, 1.5, "", "x", "\ud800", "\u0000", "a".repeat(200), "a".repeat(201), "a".repeat(60000), true, false,
                new JsonArray(), new JsonArray().add("molar16"), new JsonArray().add(1), new JsonArray().addNull(), new JsonObject(), Long.MAX_VALUE, "j-1", new JsonArray().add("j-1"), new JsonArray().add("j-1").add("j-1"), new JsonArray().add("j-999999")
            };
            int accepted = 0;
            java.util.Map<Integer, Integer> codes = new java.util.TreeMap<>();
            for (int i = 1; i < 1500 && world.now() < 70; i++) {
                World.Job job = new World.Job("j-" + i, "clinic-liaison");
                JsonObject json = job.json();
                json.putNull("waits_on");
                for (int k = random.nextInt(3); k >= 0; k--) {
                    List<String> names = new java.util.ArrayList<>(json.fieldNames());
                    String name = names.get(random.nextInt(names.size()));
                    if (random.nextInt(10) == 0) json.remove(name);
                    else json.put(name, odd[random.nextInt(odd.length)]);
                }
                String text;
                try { text = json.encode(); } catch (RuntimeException e) { continue; }
                if (random.nextInt(20) == 0) text = text.substring(0, random.nextInt(text.length()));
                if (random.nextInt(20) == 0) text = text.replace("\"guess_s\"", "\"deep\":" + "[".repeat(998) + "]".repeat(998) + ",\"guess_s\"");
                Http.Answer answer = world.post(i % 3, "/api/jobs", text);
                codes.merge(answer.status(), 1, Integer::sum);
                if (answer.status() != 400 && answer.status() != 422) world.record.line("%d %s <- %s", answer.status(), answer.body().encode(), text.length() > 700 ? text.substring(0, 700) : text);
                if (answer.status() == 201) accepted++;
                for (int n = 0; n < 3; n++) if (!world.isAlive(n)) { world.record.line("DIED %d exit %d after %s", n, world.exitValue(n), text); world.recordLogs(50); System.out.println("died"); return 1; }
            }
            System.out.println("codes " + codes);
            World.Job sound = new World.Job("j-100000", "clinic-liaison");
            sound.parts = 3; sound.runS = 5;
            if (!world.submitUntilAccepted(sound)) { world.recordLogs(50); return 1; }
            while (sound.doneToldAt < 0 && world.now() < 115) { world.sleep(2); world.status(sound); }
            for (int n = 0; n < 3; n++) if (!world.isAlive(n)) { world.record.line("DIED %d exit %d", n, world.exitValue(n)); }
            world.record.line("accepted %d sound done %s", accepted, sound.doneToldAt >= 0);
            System.out.println("sound done " + sound.doneToldAt);
            world.recordLogs(80);
            return sound.doneToldAt >= 0 ? 0 : 1;
        }
    }
}
