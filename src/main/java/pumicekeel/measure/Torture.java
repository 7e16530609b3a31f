package pumicekeel.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import pumicekeel.journal.History;
import pumicekeel.journal.Story;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;
import pumicekeel.standin.StandInUpstream.Seen;

/**
 * Kills real balancers under load at random moments and holds each answer of their journals against the stand-ins' own
 * logs: nothing is called "never left" that an upstream saw, all that upstreams saw is on record at that upstream, and
 * all that clients were told as served is found as answered or as run.
 */
public final class Torture {

  private static final int CLIENTS = 8;
  private static final double PER_SECOND = 600;
  /** Long enough that requests are out at any moment; some come within each window between two records. */
  private static final long DELAY_MICROS = 2_000;

  private static final int LONGEST_MILLIS = 250;
  /** The journal is read anew, and the folder emptied, after so many kills: reading all each time would be quadratic. */
  private static final int KILLS_A_FOLDER = 10;

  private static final String CONFIG = """
      {"name":"torture","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
       "settings":{"categories":[{"name":"quote-issue","effect":"deduplicated","dedup-scope":"cell",
        "window-ns":2000000000,"aim-ns":750000000,"deadline-ns":3000000000}],"registry-mode":"on_request",
        "projects":[{"name":"t","portion":1.0,"quota-per-s":100000.0}],
        "limits":{"cancel":true,"retry-after":true,"max-retry-after-ns":1000000000,"max-attempts":4,
        "connect-timeout-ns":200000000,"conn-idle-ns":60000000000},
        "contract":{"drain-grace-ns":2000000000,"answer-slack-ns":8000000}}}
      """;

  private final List<String> command;
  private final Path folder;
  private final String durability;
  private final SplittableRandom random;
  private final PrintWriter out;
  private final List<StandInUpstream> upstreams = new ArrayList<>();
  private final Map<Story.Verdict, Long> verdicts = new EnumMap<>(Story.Verdict.class);
  private final List<String> lies = new ArrayList<>();
  private long ran;
  private long neverOnRecord;

  /** {@code command} starts the program, up to the arguments of {@code serve}. */
  public Torture(List<String> command, Path folder, String durability, long seed, PrintWriter out) {
    this.command = command;
    this.folder = folder;
    this.durability = durability;
    random = new SplittableRandom(seed);
    this.out = out;
  }

  /** Kills so often; true where every answer was true. */
  public boolean run(int kills) throws Exception {
    EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      for (int i = 0; i < 3; i++) {
        upstreams.add(new StandInUpstream("s" + i, standIns, DELAY_MICROS));
      }
      Set<String> told = new HashSet<>();
      for (int i = 0; i < kills && lies.isEmpty(); i++) {
        round(i, clients, told);
        if ((i + 1) % KILLS_A_FOLDER == 0 || i + 1 == kills) {
          judge(told, i / KILLS_A_FOLDER);
          told.clear();
          out.println((i + 1) + " of " + kills + " kills, " + ran + " requests ran, " + verdicts);
          out.flush();
        }
      }
    } finally {
      upstreams.forEach(StandInUpstream::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clients.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    lies.forEach(lie -> out.println("UNTRUE " + lie));
    long definite = verdicts.entrySet().stream()
        .filter(
            v -> v.getKey() != Story.Verdict.MAY_HAVE_RUN && v.getKey() != Story.Verdict.UNKNOWN)
        .mapToLong(Map.Entry::getValue)
        .sum();
    long all = verdicts.values().stream().mapToLong(Long::longValue).sum();
    out.printf(
        "%d answers, %.2f %% of them definite; %d requests ran, %d untrue%n",
        all, 100.0 * definite / Math.max(1, all), ran, lies.size());
    out.flush();
    return lies.isEmpty() && all > 0;
  }

  private Path journal(int generation) {
    return folder.resolve("journal-" + generation);
  }

  private void round(int kill, EventLoopGroup group, Set<String> told) throws Exception {
    // Now and then an upstream fails on the way, so that there are second attempts and unanswered
    // ones.
    upstreams.forEach(u -> u.mode(Mode.SERVE));
    upstreams
        .get(random.nextInt(upstreams.size()))
        .mode(Mode.values()[random.nextInt(Mode.values().length)]);
    Process process = start(kill / KILLS_A_FOLDER);
    Load load = null;
    try {
      InetSocketAddress address = address(process);
      load = new Load(
              address,
              group,
              new HttpRequestTemplate("h", "quote-issue", true, "t", 3_000),
              LoadProfile.openLoop(CLIENTS, PER_SECOND),
              "k" + kill,
              kill,
              true)
          .start();
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (load.count(Outcome.SERVED) < 20 && System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(2);
      }
      TimeUnit.MICROSECONDS.sleep(random.nextInt(LONGEST_MILLIS * 1_000));
    } finally {
      process.destroyForcibly().waitFor();
      if (load != null) {
        told.addAll(load.stop().served());
      }
    }
  }

  private Process start(int generation) throws IOException {
    Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < upstreams.size(); i++) {
      list.append(i == 0 ? "" : ", ")
          .append("{ name = \"s")
          .append(i)
          .append("\", address = \"")
          .append(Addresses.text(upstreams.get(i).address()))
          .append("\", group = ")
          .append(i)
          .append(" }");
    }
    Path operator = Files.writeString(
        folder.resolve("operator.toml"),
        "[journal]\ndirectory = \"" + journal(generation)
            + "\"\ndurability = \"" + durability + "\"\n[sources.s]\nstatic = [" + list
            + "]\n[pools.quotes]\nsource = \"s\"\n[[routes]]\npool = \"quotes\"\n");
    List<String> all = new ArrayList<>(command);
    all.addAll(List.of("serve", "--operator", operator.toString()));
    ProcessBuilder builder = new ProcessBuilder(all).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", config.toString());
    return builder.start();
  }

  private static InetSocketAddress address(Process process) throws IOException {
    BufferedReader log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    StringBuilder said = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      said.append(line).append("; ");
      if (line.contains(" serves at /")) {
        return Addresses.parse("log", line.substring(line.indexOf('/') + 1));
      }
    }
    throw new IOException("the balancer did not start: " + said);
  }

  /** Holds the journal of some kills against what the stand-ins and the clients saw in them. */
  private void judge(Set<String> told, int generation) throws IOException {
    History history = new History(e -> true);
    history.read(journal(generation));
    Map<String, Story> stories = new HashMap<>();
    history.stories().forEach(s -> stories.put(s.first().id(), s));
    Map<String, Set<String>> seen = new HashMap<>();
    for (StandInUpstream u : upstreams) {
      for (Seen s : u.takeSeen()) {
        if (s.mode() != Mode.FULL) {
          seen.computeIfAbsent(s.id(), k -> new HashSet<>()).add(u.name());
        }
      }
    }
    ran += seen.size();
    seen.forEach((id, where) -> {
      Story story = stories.get(id);
      Set<String> recorded = new HashSet<>();
      if (story != null) {
        story.attempts().forEach(a -> recorded.add(a.intent().upstream()));
      }
      if (!recorded.containsAll(where)) {
        neverOnRecord++;
        lies.add(id + " ran at " + where + ", on record are " + recorded);
      }
    });
    stories.forEach((id, story) -> {
      Story.Verdict verdict = story.verdict(history.gapFor(story));
      verdicts.merge(verdict, 1L, Long::sum);
      boolean really = seen.containsKey(id);
      boolean claimsRun = verdict == Story.Verdict.ANSWERED || verdict == Story.Verdict.NOT_TOLD;
      if (verdict == Story.Verdict.NEVER_LEFT && really || claimsRun && !really) {
        lies.add(id + " is called " + verdict + ", upstreams that saw it: " + seen.get(id));
      }
      if (verdict == Story.Verdict.NOT_TOLD && told.contains(id)) {
        lies.add(id + " is called " + verdict + ", and its client was told");
      }
    });
    told.stream()
        .filter(id ->
            !stories.containsKey(id) || stories.get(id).verdict(null) == Story.Verdict.NEVER_LEFT)
        .forEach(id -> lies.add(id + " was served and is not found"));
  }
}
