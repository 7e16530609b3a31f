package pumicekeel.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Splitting of messages at any read boundaries, and limits that apply while bytes arrive. */
class FrameDecoderTest {

  private static final Limits LIMITS = new Limits(1_000, 8, 5);
  private boolean accepting = true;

  private EmbeddedChannel channel(Framing framing) {
    return new EmbeddedChannel(new FrameDecoder(framing, LIMITS, () -> accepting));
  }

  private static List<String> read(EmbeddedChannel channel) {
    List<String> out = new ArrayList<>();
    for (Frame f = channel.readInbound(); f != null; f = channel.readInbound()) {
      out.add(
          f instanceof Frame.Complete whole
              ? new String(whole.bytes(), StandardCharsets.UTF_8)
              : "fault " + ((Frame.Fault) f).code());
    }
    return out;
  }

  private static void feed(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static List<String> all(EmbeddedChannel channel, String text) {
    feed(channel, text);
    return read(channel);
  }

  private static final String VALUES = "{\"a\":\"}{\\\"]\"} [1,{\"b\":[2]}]\n{}[]";
  private static final List<String> SPLIT =
      List.of("{\"a\":\"}{\\\"]\"}", "[1,{\"b\":[2]}]", "{}", "[]");

  @Test
  void sameMessagesAtAnyReadBoundaries() {
    long seed = System.nanoTime();
    Random random = new Random(seed);
    String lines = String.join("\n", SPLIT) + "\r\n\n";
    StringBuilder withLengths = new StringBuilder();
    SPLIT.forEach(s -> withLengths
        .append("Content-Length: ")
        .append(s.length())
        .append("\r\ncontent-type: application/json\r\n\r\n")
        .append(s));
    for (int i = 0; i < 200; i++) {
      for (Framing framing : Framing.values()) {
        for (String text : framing == Framing.DETECT
            ? new String[] {VALUES, withLengths.toString()}
            : new String[] {
              framing == Framing.NEWLINE
                  ? lines
                  : framing == Framing.VALUES ? VALUES : withLengths.toString()
            }) {
          EmbeddedChannel channel = channel(framing);
          List<String> got = new ArrayList<>();
          for (int at = 0; at < text.length(); ) {
            int end = Math.min(text.length(), at + 1 + random.nextInt(i % 20 + 1));
            got.addAll(all(channel, text.substring(at, end)));
            at = end;
          }
          assertEquals(
              SPLIT, got.stream().map(String::strip).toList(), "seed " + seed + " " + framing);
          channel.finishAndReleaseAll();
        }
      }
    }
  }

  @Test
  void malformedValueIsReportedAtOnceAndTheRestIsDiscarded() {
    for (String bad : new String[] {"{]", "{\"a\":\"\n", "}", "1", "x", "GET / HTTP/1.1\r\n"}) {
      EmbeddedChannel channel = channel(Framing.DETECT);
      assertEquals(List.of("fault " + ErrorCodes.PARSE), all(channel, bad), bad);
      assertEquals(List.of(), all(channel, "{\"jsonrpc\":\"2.0\"}"), bad);
    }
  }

  @Test
  void depthSizeAndCallsAreLimitedWhileBytesArrive() {
    for (Framing framing : List.of(Framing.VALUES, Framing.DETECT)) {
      assertEquals(
          List.of("fault " + ErrorCodes.INVALID_REQUEST), all(channel(framing), "[".repeat(9)));
      assertEquals(List.of(), all(channel(framing), "[".repeat(8)));
      assertEquals(
          List.of("fault " + ErrorCodes.INVALID_REQUEST), all(channel(framing), "[1,1,1,1,1,"));
      assertEquals(List.of(), all(channel(framing), "[[1,1,1,1,1,1,1,1"));
      assertEquals(
          List.of("fault " + ErrorCodes.INVALID_REQUEST),
          all(channel(framing), "[\"" + "x".repeat(999)));
    }
    assertEquals(
        List.of("fault " + ErrorCodes.INVALID_REQUEST),
        all(channel(Framing.NEWLINE), "x".repeat(1_001)));
    assertEquals(
        List.of("fault " + ErrorCodes.INVALID_REQUEST),
        all(channel(Framing.CONTENT_LENGTH), "Content-Length: 1001\r\n\r\n"));
    assertEquals(
        List.of("fault " + ErrorCodes.PARSE),
        all(channel(Framing.CONTENT_LENGTH), "x".repeat(512)));
  }

  @Test
  void ambiguousHeaderIsRejected() {
    for (String head : new String[] {
      "Content-Length: 2\r\nContent-Length: 2",
      "Content-Length: -1",
      "Content-Length: +2",
      "Content-Length: 0x2",
      "Content-Length:",
      "Content-Type: x",
      "Content-Length: 2, 2",
      "Content-Length: 99999999999",
      "X: y\r\nContent-Length: 2",
      "Content-Length: 2\nX: y"
    }) {
      assertEquals(
          List.of("fault " + ErrorCodes.PARSE),
          all(channel(Framing.CONTENT_LENGTH), head + "\r\n\r\n{}"),
          head);
    }
  }

  @Test
  void malformedLineAffectsNoOther() {
    assertEquals(List.of("{\"a", "{}"), all(channel(Framing.NEWLINE), "{\"a\n{}\n"));
  }

  @Test
  void nothingIsEmittedWhilePausedAndNothingIsLost() throws Exception {
    FrameDecoder decoder = new FrameDecoder(Framing.DETECT, LIMITS, () -> accepting);
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    accepting = false;
    assertEquals(List.of(), all(channel, "{}[]"));
    assertTrue(decoder.hasBufferedBytes());
    accepting = true;
    decoder.resume();
    assertEquals(List.of("{}", "[]"), read(channel));
    assertFalse(decoder.hasBufferedBytes());
    feed(channel, "{\"part\":");
    decoder.discard();
    assertFalse(decoder.hasBufferedBytes());
    feed(channel, "{}");
    assertNull(channel.readInbound());
    assertInstanceOf(FrameDecoder.class, channel.pipeline().first());
  }
}
