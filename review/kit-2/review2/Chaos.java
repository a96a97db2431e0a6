package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** Random disturbances, alone and together, with a check of all rules. Not a case; used to look for one. */
public final class Chaos implements Main.Case {
    private Random random;
    private World world;
    private final List<World.Job> jobs = new CopyOnWriteArrayList<>();
    private volatile boolean isOver = false;

    @Override
    public int run(Path folder, boolean withTrouble) throws Exception {
        long seed = Long.parseLong(System.getenv().getOrDefault("SEED", "1"));
        String kinds = System.getenv().getOrDefault("KINDS", "kill,killfast,killall,stop,outage,refuse,hold,spot,hang,cut,partition,peers,slow");
        double length = Double.parseDouble(System.getenv().getOrDefault("LENGTH", "85"));
        random = new Random(seed);
        try (World w = new World(folder.resolve("record.txt"), List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room"), 48, 16)) {
            world = w;
            w.record.line("seed %d kinds %s", seed, kinds);
            w.team("booking-core", 24, 40);
            w.team("clinic-liaison", 40, 64);
            List<Link> links = new ArrayList<>();
            Link[][] byPair = new Link[3][3];
            for (int i = 0; i < 3; i++) {
                for (int j = 0; j < 3; j++) {
                    if (i == j) continue;
                    byPair[i][j] = new Link(w.clusterPort(j));
                    w.proxiedLinks.put(i + ">" + j, byPair[i][j].port());
                    links.add(byPair[i][j]);
                }
            }
            w.startCloud(2);
            w.cloud.capacity = 2;
            for (int i = 0; i < 5; i++) w.cloud.create(w.zones.get(i % 3), i % 2 == 0, 0);
            String other = System.getenv("OTHER_VERSION");
            if (other != null) {
                w.otherVersion = Path.of(other);
                w.runOther.addAll(List.of(0, 1, 2));
            }
            w.launchAll();
            if (!w.awaitHealthy(25)) return 2;
            if (other != null) async(this::upgrade);
            Thread users = new Thread(this::users);
            users.setDaemon(true);
            users.start();
            Thread polls = new Thread(this::polls);
            polls.setDaemon(true);
            polls.start();
            w.sleep(10);
            String[] kind = kinds.split(",");
            double end = w.now() + length;
            while (w.now() < end && withTrouble) {
                String chosen = kind[random.nextInt(kind.length)];
                int node = random.nextInt(3);
                if (random.nextBoolean() && w.leader() >= 0) node = w.leader();
                w.record.line("TROUBLE %s %d", chosen, node);
                int subject = node;
                switch (chosen) {
                    case "kill" -> async(() -> restart(subject, 3));
                    case "killfast" -> async(() -> restart(subject, 0.1));
                    case "killall" -> {
                        for (int i = 0; i < 3; i++) {
                            int one = i;
                            async(() -> restart(one, 3));
                        }
                    }
                    case "stop" -> async(() -> {
                        w.signal(subject, "STOP");
                        w.sleep(5 + random.nextInt(25));
                        w.signal(subject, "CONT");
                    });
                    case "outage" -> async(() -> {
                        w.state.setOutage(true);
                        w.sleep(5 + random.nextInt(15));
                        w.state.setOutage(false);
                        w.record.line("outage over");
                    });
                    case "refuse" -> async(() -> {
                        w.state.refuse(w.statePorts.get(subject), true);
                        w.sleep(20 + random.nextInt(30));
                        w.state.refuse(w.statePorts.get(subject), false);
                        w.record.line("refuse over");
                    });
                    case "hold" -> async(() -> {
                        w.state.hold(w.statePorts.get(subject), true);
                        w.sleep(10 + random.nextInt(30));
                        w.state.hold(w.statePorts.get(subject), false);
                        w.record.line("hold over");
                    });
                    case "slow" -> async(() -> {
                        w.state.delayMs = 80;
                        w.sleep(30);
                        w.state.delayMs = 0;
                    });
                    case "spot" -> {
                        for (Worker worker : w.cloud.up()) {
                            if (worker.isSpot && random.nextInt(3) == 0) {
                                worker.destroy("taken");
                                break;
                            }
                        }
                    }
                    case "hang" -> {
                        List<Worker> up = w.cloud.up();
                        if (!up.isEmpty()) up.get(random.nextInt(up.size())).hang(10 + random.nextInt(30));
                    }
                    case "cut" -> {
                        List<Worker> up = w.cloud.up();
                        if (!up.isEmpty()) up.get(random.nextInt(up.size())).cut(15 + random.nextInt(6));
                    }
                    case "partition" -> async(() -> {
                        int peer = (subject + 1) % 3;
                        byPair[subject][peer].set(Link.Mode.HOLD);
                        byPair[peer][subject].set(Link.Mode.HOLD);
                        w.sleep(15 + random.nextInt(6));
                        byPair[subject][peer].set(Link.Mode.PASS);
                        byPair[peer][subject].set(Link.Mode.PASS);
                    });
                    case "peers" -> async(() -> {
                        for (Link link : links) link.set(Link.Mode.REFUSE);
                        w.sleep(30);
                        for (Link link : links) link.set(Link.Mode.PASS);
                    });
                    default -> throw new IllegalArgumentException(chosen);
                }
                w.sleep(2 + random.nextInt(10));
            }
            // Everything is repaired; what was accepted has to run.
            w.state.setOutage(false);
            for (int i = 0; i < 3; i++) {
                w.state.refuse(w.statePorts.get(i), false);
                w.state.hold(w.statePorts.get(i), false);
            }
            isOver = true;
            double settle = w.now() + Double.parseDouble(System.getenv().getOrDefault("SETTLE", "100"));
            while (w.now() < settle) {
                w.sleep(1);
                w.checkCancelled();
                boolean isOpen = false;
                for (World.Job job : jobs) if (job.acceptedAt >= 0 && job.doneToldAt < 0 && job.cancelledToldAt < 0) isOpen = true;
                if (!isOpen) break;
            }
            for (World.Job job : jobs) {
                if (job.acceptedAt >= 0 && job.doneToldAt < 0 && job.cancelledToldAt < 0) w.breach("unfinished: " + job.uid);
            }
            for (int i = 0; i < 3; i++) {
                String log = new String(java.nio.file.Files.readAllBytes(w.logFile(i).toPath()));
                if (log.contains("ERROR") || log.contains("Exception")) w.breach("error in the log of " + i);
            }
            w.record.line("jobs %d starts %d broken %s", jobs.size(), w.starts.size(), w.broken);
            System.out.println("seed " + seed + " jobs " + jobs.size() + " broken " + w.broken);
            w.recordLogs(Integer.MAX_VALUE);
            return w.broken.isEmpty() ? 0 : 1;
        }
    }

    private interface Action {
        void run() throws Exception;
    }

    private void async(Action action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                world.record.line("action failed %s", e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Brings one controller after the other to this version. */
    private void upgrade() throws Exception {
        for (int node = 0; node < 3; node++) {
            world.sleep(25);
            world.runOther.remove(node);
            world.record.line("UPGRADE %d", node);
            restart(node, 3);
        }
    }

    private final boolean[] isRestarting = new boolean[3];

    private void restart(int node, double afterS) throws Exception {
        synchronized (isRestarting) {
            if (isRestarting[node]) return;
            isRestarting[node] = true;
        }
        world.kill(node);
        world.sleep(afterS);
        world.launch(node);
        isRestarting[node] = false;
    }

    private void users() {
        try {
            Random own = new Random(random.nextLong());
            for (int i = 1; !isOver; i++) {
                World.Job job = new World.Job("j-" + i, own.nextBoolean() ? "booking-core" : "clinic-liaison");
                job.parts = 1 + own.nextInt(10);
                job.cores = 1 << own.nextInt(4);
                job.memGb = 4;
                job.runS = 3 + own.nextInt(15);
                job.imageGb = 0.3 + own.nextInt(3);
                job.image = "img-" + own.nextInt(3);
                job.loaners = own.nextInt(4) > 0;
                job.samePlace = own.nextInt(4) == 0;
                job.spread = !job.samePlace && own.nextInt(4) == 0;
                if (own.nextInt(6) == 0) job.yard = world.zones.get(own.nextInt(3));
                if (own.nextInt(3) == 0 && !jobs.isEmpty() && world.runOther.isEmpty()) {
                    World.Job before = jobs.get(own.nextInt(jobs.size()));
                    if (before.acceptedAt >= 0) job.waitsOn = List.of(before.uid);
                }
                jobs.add(job);
                int first = own.nextInt(3);
                async(() -> user(job, first, own.nextInt(5) == 0, own.nextInt(20)));
                world.sleep(1.5 + own.nextInt(3));
            }
        } catch (Exception e) {
            world.record.line("users failed %s", e);
        }
    }

    private void user(World.Job job, int node, boolean cancels, int cancelAfterS) throws Exception {
        double until = world.now() + 60;
        for (int i = node; world.now() < until && job.acceptedAt < 0; i++) {
            int status = world.submit(i % 3, job).status();
            if (status == 400 || status == 422) {
                world.breach("refused " + job.uid + " " + status);
                return;
            }
            if (job.acceptedAt < 0) world.sleep(1);
        }
        if (!cancels) return;
        world.sleep(cancelAfterS);
        for (int i = node + 1; job.cancelledToldAt < 0 && job.doneToldAt < 0 && !(isOver && i > node + 100); i++) {
            world.cancel(i % 3, job);
            world.sleep(1);
        }
    }

    private void polls() {
        try {
            for (int i = 0; ; i++) {
                for (World.Job job : jobs) {
                    if (job.acceptedAt < 0) continue;
                    if (job.doneToldAt >= 0 || job.cancelledToldAt >= 0) {
                        if (i % 10 != 0) continue;
                    }
                    world.poll((int) (Math.random() * 3), job);
                }
                if (i % 3 == 0 && world.get((int) (Math.random() * 3), "/api/jobs/j-99999" + i).status() == 200) world.breach("invented");
                world.checkCancelled();
                world.sleep(2);
            }
        } catch (Exception e) {
            world.record.line("polls failed %s", e);
        }
    }
}
