package pumicekeel.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests of the encoding of messages between members and of the rejection of invalid ones. */
class DatagramTest {

  private static Datagram full() {
    List<GossipUpdate> updates = new ArrayList<>();
    for (int i = 0; i < Datagram.MAX_UPDATES; i++) {
      updates.add(
          new GossipUpdate(i, State.values()[1 + i % 3], 1_700_000_000_000L + i, 0xffffffffL - i));
    }
    return new Datagram(
        Datagram.Kind.PING_REQUEST, 19, 1_700_000_000_123L, 7, 0xfffffffeL, 3, updates);
  }

  @Test
  void decodesToWhatWasEncodedWithinThePlatformsLimit() {
    byte[] bytes = full().bytes();
    assertTrue(bytes.length <= 256 && bytes.length > 256 - 15, bytes.length + " bytes");
    assertEquals(full(), Datagram.of(bytes, 20));
  }

  @Test
  void truncatedOverlongForeignOrOutOfRangeDatagramIsRejected() {
    byte[] bytes = full().bytes();
    for (int i = 0; i < bytes.length; i++) {
      assertNull(Datagram.of(Arrays.copyOf(bytes, i), 20), "truncated at " + i);
    }
    assertNull(Datagram.of(Arrays.copyOf(bytes, bytes.length + 1), 20));
    assertNull(Datagram.of(bytes, 19), "a sender beyond the end of the list");
    assertNull(Datagram.of(new byte[257], 20));
    for (int[] change : new int[][] {
      {0, 0},
      {1, 0},
      {2, 9},
      {3, 5},
      {3, -1},
      {6, 0x7f},
      {24, 16},
      {24, -1},
      {27, 0},
      {27, 4},
      {28, 0x7f}
    }) {
      byte[] changed = bytes.clone();
      changed[change[0]] = (byte) change[1];
      assertNull(Datagram.of(changed, 20), "byte " + change[0]);
    }
  }

  @Test
  void randomBytesAreRejectedOrDecodeExactly() {
    SplittableRandom random = new SplittableRandom(5);
    byte[] good = full().bytes();
    for (int i = 0; i < 20_000; i++) {
      byte[] b = random.nextBoolean() ? good.clone() : new byte[random.nextInt(300)];
      for (int k = random.nextInt(1, 20); k > 0 && b.length > 0; k--) {
        b[random.nextInt(b.length)] = (byte) random.nextInt(256);
      }
      Datagram read = Datagram.of(b, 20);
      assertTrue(read == null || Arrays.equals(read.bytes(), b), "seed 5, input " + i);
    }
  }
}
