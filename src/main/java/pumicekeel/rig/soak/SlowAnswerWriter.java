package pumicekeel.rig.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.rig.soak.RequestLog.EventType;
import pumicekeel.rig.soak.SlowAnswers.Framing;
import pumicekeel.rig.soak.SlowAnswers.Piece;

/** Writes one answer of an upstream over time, as raw bytes below the HTTP codec. Runs on the connection's loop. */
final class SlowAnswerWriter {

  private static final int OK = 200;

  private final Channel channel;
  private final RequestLog log;
  private final String upstream;
  private final String id;
  private final SlowAnswers.Answer answer;
  private final byte[] body;
  private boolean headWritten;
  private int written;

  SlowAnswerWriter(
      Channel channel, RequestLog log, String upstream, String id, SlowAnswers.Answer answer) {
    this.channel = channel;
    this.log = log;
    this.upstream = upstream;
    this.id = id;
    this.answer = answer;
    body = AnswerBody.of(id, answer.length());
  }

  /** Schedules all writes; {@code whenWhole} runs when the last one is made. */
  void start(Runnable whenWhole) {
    schedule(answer.headMillis(), this::writeHead);
    for (Piece piece : answer.pieces()) {
      boolean last = answer.isSound() && piece.end() == answer.length();
      schedule(piece.atMillis(), () -> writePiece(piece, last, whenWhole));
    }
  }

  private void schedule(long millis, Runnable write) {
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (channel.isActive()) {
                write.run();
              }
            },
            millis,
            TimeUnit.MILLISECONDS);
  }

  private void writeHead() {
    String framing = switch (answer.framing()) {
      case LENGTH -> "Content-Length: " + body.length;
      case CHUNKED -> "Transfer-Encoding: chunked";
      case CLOSE -> "Connection: close";
    };
    headWritten = true;
    log.add(id, upstream, EventType.REPLYING, OK, answer.pattern() + " " + answer.framing());
    write(ascii("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n"));
  }

  private void writePiece(Piece piece, boolean last, Runnable whenWhole) {
    ByteBuf bytes = Unpooled.wrappedBuffer(body, written, piece.end() - written);
    if (answer.framing() == Framing.CHUNKED) {
      bytes = Unpooled.wrappedBuffer(
          ascii(Integer.toHexString(bytes.readableBytes()) + "\r\n"),
          bytes,
          ascii(last ? "\r\n0\r\n\r\n" : "\r\n"));
    }
    written = piece.end();
    if (last) {
      log.add(id, upstream, EventType.REPLIED, OK, "");
      whenWhole.run();
    }
    var done = write(bytes);
    if (last && answer.framing() == Framing.CLOSE) {
      done.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private io.netty.channel.ChannelFuture write(ByteBuf bytes) {
    return channel.pipeline().firstContext().writeAndFlush(bytes);
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Records that the connection was closed before the answer was whole, by the balancer or, if {@code here}, by the upstream. */
  void cut(boolean here) {
    boolean sound = answer.isSound() && headWritten && !here;
    log.add(
        id,
        upstream,
        sound ? EventType.SOUND_CUT : EventType.GIVEN_UP,
        written,
        answer.pattern() + " " + answer.framing() + ", " + written + " of " + body.length
            + " bytes");
  }
}
