package pumicekeel.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import pumicekeel.demo.Verdict;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadProfile;
import pumicekeel.load.LoadResults.Outcome;

/** Tests several processes with faults on their links; the checks use what the upstreams received. */
class MeshTest {

  private static final List<String> FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m");
  private static final EventLoopGroup CLIENTS =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterAll
  static void end() {
    CLIENTS.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private static void until(BooleanSupplier condition, String what) throws InterruptedException {
    long end = System.nanoTime() + 60_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, what);
      Thread.sleep(10);
    }
  }

  private static Load load(Mesh mesh, int member, String className, boolean keyed) {
    return new Load(
            mesh.members().get(member).address(),
            CLIENTS,
            new HttpRequestTemplate("h", className, keyed, "demo", 2_000),
            LoadProfile.openLoop(2, 40),
            className + member,
            member)
        .start();
  }

  /** A fault in one direction: requests reach the upstream and its responses do not return. */
  @Test
  void requestsWhoseResponsesAreCutOffEndInTimeAndRunInNoOtherCell() throws Exception {
    try (Mesh mesh = new Mesh(3, 4, false, FLAGS, 1)) {
      List<Load> all = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        all.add(load(mesh, i, "rate-lookup", false));
        all.add(load(mesh, i, "quote-issue", true));
      }
      until(
          () -> all.stream().allMatch(l -> l.count(Outcome.SERVED) > 20), "served before the cut");
      mesh.link(0, "s0").faults(Fault.NONE, Fault.CUT);
      mesh.link(1, "s0").faults(Fault.CUT, Fault.NONE);
      long[] before = all.stream().mapToLong(l -> l.count(Outcome.SERVED)).toArray();
      until(() -> allGrew(all, before, 60), "served during the cut");
      mesh.clearFaults();
      for (Load l : all) {
        l.stop();
      }
      Verdict verdict = mesh.verdict();
      verdict.checkAllAnswered("requests", all.stream().map(Load::results).toList());
      verdict.checkNoDuplicateEffect();
      assertTrue(verdict.passed(), verdict.lines().toString());
    }
  }

  private static boolean allGrew(List<Load> all, long[] before, long by) {
    for (int i = 0; i < before.length; i++) {
      if (all.get(i).count(Outcome.SERVED) < before[i] + by) {
        return false;
      }
    }
    return true;
  }

  /** A drain is announced while a process is stopped; once continued, it sends nothing to the upstream that has left. */
  @Test
  void processThatStoodStillAcrossADrainKeepsIt() throws Exception {
    try (Mesh mesh = new Mesh(3, 4, false, FLAGS, 2)) {
      List<Load> all = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        all.add(load(mesh, i, "rate-lookup", false));
      }
      until(
          () -> all.stream().allMatch(l -> l.count(Outcome.SERVED) > 20)
              && mesh.upstreams().get("s1").received().size() > 3,
          "served before the drain");
      mesh.members().get(2).signal("STOP");
      mesh.announce("s1", "terminating", 0);
      Thread.sleep(3_500);
      long continuedAt = System.nanoTime();
      mesh.members().get(2).signal("CONT");
      long served = all.get(2).count(Outcome.SERVED);
      until(() -> all.get(2).count(Outcome.SERVED) > served + 60, "served after it was continued");
      for (Load l : all) {
        l.stop();
      }
      // A read and the sends that it causes may be in the same iteration of the event loop, so
      // sends that were decided on before the stall go out right after it.
      long late = mesh.upstreams().get("s1").received().stream()
          .filter(s -> s.atNanos() - continuedAt > 500_000_000L)
          .count();
      assertEquals(
          0, late, "sent to an upstream that left, half a second after the process was continued");
      Verdict verdict = mesh.verdict();
      verdict.checkAllAnswered(
          "requests", all.subList(0, 2).stream().map(Load::results).toList());
      assertTrue(verdict.passed(), verdict.lines().toString());
    }
  }

  /** Member 1 receives nothing from member 0: neither is declared dead, as others send indirect probes. */
  @Test
  void membersCutOffInOneDirectionStayAliveByIndirectProbes() throws Exception {
    try (Mesh mesh = new Mesh(4, 1, true, FLAGS, 3)) {
      until(
          () -> mesh.members().stream().allMatch(m -> seesLive(m, 4)),
          "all members discover each other");
      mesh.datagrams().fault(0, 1, Fault.CUT);
      long before = mesh.datagrams().delivered();
      until(() -> mesh.datagrams().delivered() > before + 200, "datagrams are still delivered");
      for (Member m : mesh.members()) {
        assertTrue(seesLive(m, 4), m.name() + ": " + m.log());
      }
      mesh.members().get(3).signal("KILL");
      until(
          () -> mesh.members().subList(0, 3).stream().allMatch(m -> seesLive(m, 3)),
          "the failure is detected");
      mesh.restartKilled(3);
      until(() -> mesh.members().stream().allMatch(m -> seesLive(m, 4)), "the restart is detected");
    }
  }

  private static boolean seesLive(Member m, int count) {
    String last = null;
    for (String line : m.log()) {
      last = line.contains("peers: ") ? line : last;
    }
    return last != null && last.contains("peers: " + count + " of ");
  }

  /** The mesh's own process is killed while one of its child processes is stopped: no child remains. */
  @Test
  void noProcessOutlivesAMeshThatWasKilled() throws Exception {
    Process mesh = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "pumicekeel.mesh.MeshTest$StandaloneMesh")
        .redirectErrorStream(true)
        .start();
    List<ProcessHandle> children = new ArrayList<>();
    BufferedReader out =
        new BufferedReader(new InputStreamReader(mesh.getInputStream(), StandardCharsets.UTF_8));
    while (children.size() < 2) {
      String line = out.readLine();
      assertNotNull(line, "its output ended");
      if (line.startsWith("child ")) {
        children.add(ProcessHandle.of(Long.parseLong(line.substring(6))).orElseThrow());
      }
    }
    assertEquals(2, children.size());
    mesh.destroyForcibly().waitFor();
    for (ProcessHandle child : children) {
      child.onExit().get(5, TimeUnit.SECONDS);
      assertFalse(child.isAlive());
    }
  }

  /** The program that the test above starts and kills. */
  static final class StandaloneMesh {
    public static void main(String[] args) throws Exception {
      Mesh mesh = new Mesh(2, 1, false, FLAGS, 4);
      mesh.members().get(1).signal("STOP");
      mesh.members().forEach(m -> System.out.println("child " + m.pid()));
      Thread.sleep(600_000);
      mesh.close();
    }
  }
}
