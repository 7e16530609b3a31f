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
import pumicekeel.journal.RequestHistory;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;
import pumicekeel.standin.StandInUpstream.ReceivedRequest;

/**
 * Crash test of the journal: kills balancer processes under load at random moments and compares what their journals report about
 * each request with the stand-ins' own logs. No request that an upstream received may be reported as never sent, every request that an
 * upstream received must be recorded for that upstream, and every request that a client saw served must be recorded as answered or run.
 */
public final class Torture {

  private static final int CLIENTS = 8;
  private static final double REQUESTS_PER_SECOND = 600;
  /** Long enough that requests are in flight at any moment, so that kills fall between any two records of a request. */
  private static final long UPSTREAM_DELAY_MICROS = 2_000;

  private static final int MAX_KILL_DELAY_MILLIS = 250;
  /** Kills after which the journal is read and a new one begun; reading everything after each kill would take quadratic time. */
  private static final int KILLS_PER_JOURNAL = 10;

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
  private final Map<RequestHistory.Verdict, Long> verdicts =
      new EnumMap<>(RequestHistory.Verdict.class);
  private final List<String> wrongAnswers = new ArrayList<>();
  private long ran;
  private long unrecorded;

  /** Creates a test; {@code command} starts the program, up to the arguments of {@code serve}. */
  public Torture(List<String> command, Path folder, String durability, long seed, PrintWriter out) {
    this.command = command;
    this.folder = folder;
    this.durability = durability;
    random = new SplittableRandom(seed);
    this.out = out;
  }

  /** Performs this many kills. Returns whether every report of the journals was correct. */
  public boolean run(int kills) throws Exception {
    EventLoopGroup standIns = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    EventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      for (int i = 0; i < 3; i++) {
        upstreams.add(new StandInUpstream("s" + i, standIns, UPSTREAM_DELAY_MICROS));
      }
      Set<String> served = new HashSet<>();
      for (int i = 0; i < kills && wrongAnswers.isEmpty(); i++) {
        killOnce(i, clients, served);
        if ((i + 1) % KILLS_PER_JOURNAL == 0 || i + 1 == kills) {
          verify(served, i / KILLS_PER_JOURNAL);
          served.clear();
          out.println((i + 1) + " of " + kills + " kills, " + ran + " requests ran, " + verdicts);
          out.flush();
        }
      }
    } finally {
      upstreams.forEach(StandInUpstream::close);
      standIns.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      clients.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    wrongAnswers.forEach(wrong -> out.println("WRONG " + wrong));
    long definite = verdicts.entrySet().stream()
        .filter(v -> v.getKey() != RequestHistory.Verdict.MAY_HAVE_RUN
            && v.getKey() != RequestHistory.Verdict.UNKNOWN)
        .mapToLong(Map.Entry::getValue)
        .sum();
    long all = verdicts.values().stream().mapToLong(Long::longValue).sum();
    out.printf(
        "%d answers, %.2f %% of them definite; %d requests ran, %d wrong%n",
        all, 100.0 * definite / Math.max(1, all), ran, wrongAnswers.size());
    out.flush();
    return wrongAnswers.isEmpty() && all > 0;
  }

  private Path journal(int journalNumber) {
    return folder.resolve("journal-" + journalNumber);
  }

  private void killOnce(int kill, EventLoopGroup group, Set<String> served) throws Exception {
    // One upstream gets a random mode, often a failure, so that there are retries and unanswered
    // attempts.
    upstreams.forEach(u -> u.mode(Mode.SERVE));
    upstreams
        .get(random.nextInt(upstreams.size()))
        .mode(Mode.values()[random.nextInt(Mode.values().length)]);
    Process process = start(kill / KILLS_PER_JOURNAL);
    Load load = null;
    try {
      InetSocketAddress address = address(process);
      load = new Load(
              address,
              group,
              new HttpRequestTemplate("h", "quote-issue", true, "t", 3_000),
              LoadProfile.openLoop(CLIENTS, REQUESTS_PER_SECOND),
              "k" + kill,
              kill,
              true)
          .start();
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (load.count(Outcome.SERVED) < 20 && System.nanoTime() - end < 0) {
        TimeUnit.MILLISECONDS.sleep(2);
      }
      TimeUnit.MICROSECONDS.sleep(random.nextInt(MAX_KILL_DELAY_MILLIS * 1_000));
    } finally {
      process.destroyForcibly().waitFor();
      if (load != null) {
        served.addAll(load.stop().served());
      }
    }
  }

  private Process start(int journalNumber) throws IOException {
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
        "[journal]\ndirectory = \"" + journal(journalNumber)
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
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    StringBuilder log = new StringBuilder();
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      log.append(line).append("; ");
      if (line.contains(" serves at /")) {
        return Addresses.parse("log", line.substring(line.indexOf('/') + 1));
      }
    }
    throw new IOException("the balancer did not start: " + log);
  }

  /** Compares the journal of the last kills with what the stand-ins received and the clients were answered during them. */
  private void verify(Set<String> served, int journalNumber) throws IOException {
    History history = new History(e -> true);
    history.read(journal(journalNumber));
    Map<String, RequestHistory> requests = new HashMap<>();
    history.requests().forEach(s -> requests.put(s.firstIntent().id(), s));
    Map<String, Set<String>> upstreamsById = new HashMap<>();
    for (StandInUpstream u : upstreams) {
      for (ReceivedRequest s : u.takeReceived()) {
        if (s.mode() != Mode.FULL) {
          upstreamsById.computeIfAbsent(s.id(), k -> new HashSet<>()).add(u.name());
        }
      }
    }
    ran += upstreamsById.size();
    upstreamsById.forEach((id, upstreamNames) -> {
      RequestHistory request = requests.get(id);
      Set<String> recorded = new HashSet<>();
      if (request != null) {
        request.attempts().forEach(a -> recorded.add(a.intent().upstream()));
      }
      if (!recorded.containsAll(upstreamNames)) {
        unrecorded++;
        wrongAnswers.add(id + " ran at " + upstreamNames + ", recorded upstreams: " + recorded);
      }
    });
    requests.forEach((id, request) -> {
      RequestHistory.Verdict verdict = request.verdict(history.gapFor(request));
      verdicts.merge(verdict, 1L, Long::sum);
      boolean ranAtUpstream = upstreamsById.containsKey(id);
      boolean claimsRun =
          verdict == RequestHistory.Verdict.ANSWERED || verdict == RequestHistory.Verdict.NOT_TOLD;
      if (verdict == RequestHistory.Verdict.NEVER_LEFT && ranAtUpstream
          || claimsRun && !ranAtUpstream) {
        wrongAnswers.add(id + " is reported as " + verdict + ", upstreams that received it: "
            + upstreamsById.get(id));
      }
      if (verdict == RequestHistory.Verdict.NOT_TOLD && served.contains(id)) {
        wrongAnswers.add(id + " is reported as " + verdict + ", but its client was answered");
      }
    });
    served.stream()
        .filter(id -> !requests.containsKey(id)
            || requests.get(id).verdict(null) == RequestHistory.Verdict.NEVER_LEFT)
        .forEach(id -> wrongAnswers.add(id + " was served but is not recorded"));
  }
}
