package pumicekeel.rig.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Decides by seed how upstreams write their answers over time: sound ones whose head or body comes slowly, and some that stop for good.
 *
 * @param seed seed of all decisions
 * @param slowShare share of answers that are slow
 * @param stopShare share of answers that stop for good after their head or in their body
 * @param latestPart a steady answer's last byte comes at most at this part of the announced time
 * @param latestPartWithGaps the same for answers with long gaps
 */
record SlowAnswers(
    long seed, double slowShare, double stopShare, double latestPart, double latestPartWithGaps) {

  /** How the end of a body is told. */
  enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE
  }

  /** How the body of an answer comes. */
  enum Pattern {
    /** In small pieces at short, even intervals. */
    STEADY,
    /** In a few large pieces with long gaps. */
    LUMPS,
    /** As a whole, long after the head. */
    LATE_BODY,
    /** A small body, some bytes at a time. */
    DRIP,
    /** A first part or none; nothing more ever comes. */
    STOPS
  }

  /** A part of a body, which ends at byte {@code end} and is written {@code atMillis} after the request. */
  record Piece(int end, long atMillis) {}

  /** One answer: its head is written {@code headMillis} after the request. */
  record Answer(Framing framing, Pattern pattern, int length, long headMillis, List<Piece> pieces) {

    /** Returns whether the answer comes whole if nobody closes its connection. */
    boolean isSound() {
      return pattern != Pattern.STOPS;
    }
  }

  private static final int MIN_LENGTH = 2_000;
  private static final int MAX_LENGTH = 240_000;
  private static final int MIN_DRIP_LENGTH = 60;
  private static final int MAX_DRIP_LENGTH = 400;
  private static final long STEADY_INTERVAL_MILLIS = 40;

  private static final int MAX_HEAD_MILLIS = 80;

  /** Returns how an upstream answers a request that announced this much time; null for an answer at once. */
  Answer answerTo(String id, String upstream, long announcedMillis) {
    Random random = new Random(seed * 1_000_003 + id.hashCode() * 31L + upstream.hashCode());
    // The first values of similar seeds are similar.
    random.nextLong();
    double draw = random.nextDouble();
    if (draw >= slowShare + stopShare || announcedMillis < 2 * MAX_HEAD_MILLIS) {
      return null;
    }
    Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
    int length =
        (int) (MIN_LENGTH * Math.pow((double) MAX_LENGTH / MIN_LENGTH, random.nextDouble()));
    long head = random.nextInt(MAX_HEAD_MILLIS);
    if (draw < stopShare) {
      int part = random.nextBoolean() ? 0 : random.nextInt(length);
      List<Piece> first = part == 0 ? List.of() : List.of(new Piece(part, head));
      return new Answer(framing, Pattern.STOPS, length, head, first);
    }
    Pattern pattern = drawSoundPattern(random);
    if (pattern == Pattern.DRIP) {
      length = MIN_DRIP_LENGTH + random.nextInt(MAX_DRIP_LENGTH - MIN_DRIP_LENGTH);
    }
    boolean hasGaps = pattern == Pattern.LUMPS || pattern == Pattern.LATE_BODY;
    double latest = hasGaps ? latestPartWithGaps : latestPart;
    long end =
        head + (long) ((0.2 + random.nextDouble() * (latest - 0.2)) * (announcedMillis - head));
    return new Answer(framing, pattern, length, head, pieces(pattern, length, head, end, random));
  }

  /** Answers that drip are drawn only where answers with gaps may be late, so that older plans stay the same for a seed. */
  private Pattern drawSoundPattern(Random random) {
    List<Pattern> patterns = latestPartWithGaps > 1
        ? List.of(Pattern.STEADY, Pattern.LUMPS, Pattern.LATE_BODY, Pattern.DRIP)
        : List.of(Pattern.STEADY, Pattern.LUMPS, Pattern.LATE_BODY);
    return patterns.get(random.nextInt(patterns.size()));
  }

  private static List<Piece> pieces(
      Pattern pattern, int length, long head, long end, Random random) {
    if (pattern == Pattern.LATE_BODY) {
      return List.of(new Piece(length, end));
    }
    int count = pattern == Pattern.LUMPS
        ? 2 + random.nextInt(3)
        : (int) Math.min(length, Math.max(2, (end - head) / STEADY_INTERVAL_MILLIS));
    List<Piece> pieces = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      pieces.add(new Piece((int) ((long) length * i / count), head + (end - head) * i / count));
    }
    return pieces;
  }
}
