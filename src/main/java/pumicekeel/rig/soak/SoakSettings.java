package pumicekeel.rig.soak;

import java.util.List;

/**
 * The settings of a soak run: one class of each effect, with deadlines that the plan chooses.
 *
 * @param shortMillis deadline of the class that is safe to repeat
 * @param longMillis deadline of the other classes
 * @param windowMillis time within which upstreams drop repeats of a keyed request
 * @param aimMillis aim of all classes
 */
public record SoakSettings(long shortMillis, long longMillis, long windowMillis, long aimMillis) {

  private static final long AIM_MILLIS = 200;
  /** Where answers are slow by plan, so that not most requests are shed. */
  private static final long SLOW_AIM_MILLIS = 1_000;

  /** Creates settings with the usual aim. */
  public SoakSettings(long shortMillis, long longMillis, long windowMillis) {
    this(shortMillis, longMillis, windowMillis, AIM_MILLIS);
  }

  /** Returns these settings for upstreams whose answers are slow. */
  SoakSettings forSlowAnswers() {
    return new SoakSettings(shortMillis, longMillis, windowMillis, SLOW_AIM_MILLIS);
  }

  /** Whether and where requests of a class may be repeated. */
  public enum Effect {
    /** Safe to repeat: GET. */
    SAFE,
    /** The upstreams of a cell drop repeats among them: POST with a key. */
    KEYED_BY_CELL,
    /** All upstreams drop repeats among them: POST with a key. */
    KEYED_BY_ALL,
    /** Never repeated once it may have run: POST without a key. */
    UNSAFE
  }

  /** A class of requests. */
  public record RequestClass(String name, Effect effect, long deadlineMillis) {}

  /** The deadlines and window of plans that do not use short ones. */
  public static final SoakSettings DEFAULT = new SoakSettings(1_500, 2_500, 2_000);

  /** Grace after which nothing may be sent to a draining upstream. */
  public static final long DRAIN_GRACE_MILLIS = 2_000;
  /** Window in which the cold budget limits the requests to a cold upstream. */
  public static final long COLD_WINDOW_MILLIS = 3_000;
  /** Share of its capacity that a cold upstream can serve at the start. */
  public static final double COLD_FROM = 0.3;

  /** Multiple of {@link #COLD_FROM} that the cold budget allows a cold upstream to receive. */
  public static final double COLD_MULTIPLE = 3;
  /** Time until an upstream counts as warm. */
  public static final long WARM_WITHIN_MILLIS = 8_000;

  /** Returns one class for each effect. */
  public List<RequestClass> classes() {
    return List.of(
        new RequestClass("rate-lookup", Effect.SAFE, shortMillis),
        new RequestClass("quote-issue", Effect.KEYED_BY_CELL, longMillis),
        new RequestClass("draft-save", Effect.KEYED_BY_ALL, longMillis),
        new RequestClass("order-place", Effect.UNSAFE, longMillis));
  }

  /** Returns the settings in the platform's format; lists are pushed or requested. */
  public String json(boolean pushed) {
    return json(pushed, "");
  }

  /** Returns the settings of one balancer of a group that may exchange datagrams, given its number and the group's size. */
  public String jsonForPeer(boolean pushed, int me, int size) {
    return json(pushed, "\"me\":" + me + ",\"group-size\":" + size + ",");
  }

  private String json(boolean pushed, String member) {
    StringBuilder categories = new StringBuilder();
    for (RequestClass c : classes()) {
      categories
          .append(categories.isEmpty() ? "" : ",")
          .append("{\"name\":\"" + c.name() + "\"," + effect(c) + ",\"aim-ns\":"
              + aimMillis * 1_000_000 + ",\"deadline-ns\":" + c.deadlineMillis() * 1_000_000 + "}");
    }
    return "{" + member + "\"categories\":[" + categories + "],"
        + "\"projects\":[{\"name\":\"demo\",\"portion\":1.0,\"quota-per-s\":100000.0}],"
        + "\"registry-mode\":\"" + (pushed ? "pushed" : "on_request") + "\","
        + "\"limits\":{\"peers\":" + !member.isEmpty()
        + ",\"cancel\":true,\"retry-after\":true,\"max-retry-after-ns\":1000000000,"
        + "\"max-attempts\":4,\"second-copies\":true,\"connect-timeout-ns\":200000000,"
        + "\"conn-idle-ns\":5000000000},"
        + "\"contract\":{\"drain-grace-ns\":" + DRAIN_GRACE_MILLIS * 1_000_000
        + ",\"answer-slack-ns\":8000000,\"cold-from\":" + COLD_FROM + ",\"warm-within-ns\":"
        + WARM_WITHIN_MILLIS * 1_000_000 + ",\"overload-for-ns\":" + COLD_WINDOW_MILLIS * 1_000_000
        + ",\"fall-multiple\":" + COLD_MULTIPLE + "}}";
  }

  private String effect(RequestClass c) {
    String window = ",\"window-ns\":" + windowMillis * 1_000_000;
    return switch (c.effect()) {
      case SAFE -> "\"effect\":\"idempotent\"";
      case KEYED_BY_CELL -> "\"effect\":\"deduplicated\",\"dedup-scope\":\"cell\"" + window;
      case KEYED_BY_ALL -> "\"effect\":\"deduplicated\",\"dedup-scope\":\"all\"" + window;
      case UNSAFE -> "\"effect\":\"at_most_once\"";
    };
  }
}
