package pumicekeel.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * Cuts the bytes of a connection into {@link Frame}s, with bounds that hold while they come. Behind a fault nothing more is
 * read. Nothing is handed on while {@code open} says no; {@link #resume} goes on.
 */
public final class FrameDecoder extends ByteToMessageDecoder {

  /** A head of Content-Length and perhaps Content-Type. */
  static final int MAX_HEADER_BYTES = 512;

  private final Limits limits;
  private final ValueScanner scanner;
  private final BooleanSupplier accepting;
  private Framing framing;
  private int scanned;
  private int length = -1;
  private boolean failed;
  private boolean reading;
  private ChannelHandlerContext ctx;

  public FrameDecoder(Framing framing, Limits limits, BooleanSupplier accepting) {
    this.framing = framing;
    this.limits = limits;
    this.accepting = accepting;
    scanner = new ValueScanner(limits);
  }

  /** How messages come: found by now, or {@link Framing#DETECT}. Answers go out the same way. */
  public Framing framing() {
    return framing;
  }

  /** Whether a message has come in part, or some wait in whole. */
  public boolean hasBufferedBytes() {
    return actualReadableBytes() > 0;
  }

  /** How many bytes are held: of a message that has come in part, and of those that wait in whole. */
  public int bufferedBytes() {
    return actualReadableBytes();
  }

  /** Drops what is held and what still comes. */
  public void discard() {
    failed = true;
    if (hasBufferedBytes()) {
      internalBuffer().skipBytes(actualReadableBytes());
    }
  }

  /** Reads no further by itself while nothing is taken: the library would ask for more where nothing came of a read. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    if (accepting.getAsBoolean()) {
      super.channelReadComplete(context);
    } else {
      context.fireChannelReadComplete();
    }
  }

  /** One read is gone through before another: its messages are in order. */
  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    boolean nested = reading;
    reading = true;
    try {
      super.channelRead(context, message);
    } finally {
      reading = nested;
    }
  }

  /** Goes on with what is held; false from within a read, which goes on by itself. On the loop. */
  public boolean resume() throws Exception {
    if (!reading && hasBufferedBytes() && ctx != null && !ctx.isRemoved()) {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
      channelReadComplete(ctx);
    }
    return !reading;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) throws Exception {
    ctx = context;
    super.handlerAdded(context);
  }

  /** The end of what the other side sends is no end of what it sent before: that is still answered. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      context.fireUserEventTriggered(event);
    } else {
      super.userEventTriggered(context, event);
    }
  }

  /** What is left when a connection has ended is nobody's any more. */
  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    in.skipBytes(in.readableBytes());
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (failed) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (!accepting.getAsBoolean()) {
      return;
    }
    if (length < 0 && scanned == 0 && framing != Framing.NEWLINE) {
      skipSpace(in);
    }
    if (!in.isReadable()) {
      return;
    }
    if (framing == Framing.DETECT) {
      byte first = in.getByte(in.readerIndex());
      framing = first == 'C' || first == 'c' ? Framing.CONTENT_LENGTH : Framing.VALUES;
    }
    switch (framing) {
      case NEWLINE -> decodeLine(in, out);
      case CONTENT_LENGTH -> decodeContentLength(in, out);
      default -> decodeValue(in, out);
    }
  }

  private static void skipSpace(ByteBuf in) {
    while (in.isReadable()) {
      byte b = in.getByte(in.readerIndex());
      if (b != ' ' && b != '\t' && b != '\r' && b != '\n') {
        return;
      }
      in.skipBytes(1);
    }
  }

  private void decodeLine(ByteBuf in, List<Object> out) {
    int end = in.indexOf(in.readerIndex() + scanned, in.writerIndex(), (byte) '\n');
    int size = (end < 0 ? in.writerIndex() : end) - in.readerIndex();
    if (size > limits.bytes()) {
      tooLarge(in, out);
      return;
    }
    if (end < 0) {
      scanned = size;
      return;
    }
    scanned = 0;
    byte[] bytes = take(in, size);
    in.skipBytes(1);
    if (!blank(bytes)) {
      out.add(new Frame.Complete(bytes));
    }
  }

  private static boolean blank(byte[] bytes) {
    for (byte b : bytes) {
      if (b != ' ' && b != '\t' && b != '\r') {
        return false;
      }
    }
    return true;
  }

  private void decodeValue(ByteBuf in, List<Object> out) {
    if (scanned == 0) {
      scanner.reset();
      byte first = in.getByte(in.readerIndex());
      if (first != '{' && first != '[') {
        fault(in, out, ErrorCodes.PARSE, "expected { or [ at the beginning of a message");
        return;
      }
    }
    int max = Math.min(in.readableBytes(), limits.bytes());
    int end = scanner.scan(in, in.readerIndex() + scanned, in.readerIndex() + max);
    if (scanner.failed()) {
      fault(in, out, scanner.code(), scanner.fault());
    } else if (end >= 0) {
      scanned = 0;
      out.add(new Frame.Complete(take(in, end - in.readerIndex())));
    } else if (in.readableBytes() > limits.bytes()) {
      tooLarge(in, out);
    } else {
      scanned = in.readableBytes();
    }
  }

  private void decodeContentLength(ByteBuf in, List<Object> out) {
    if (length < 0 && !decodeHeader(in, out)) {
      return;
    }
    if (in.readableBytes() >= length) {
      byte[] bytes = take(in, length);
      length = -1;
      scanned = 0;
      out.add(new Frame.Complete(bytes));
    }
  }

  /** Whether the head is whole and sound, and how much follows. */
  private boolean decodeHeader(ByteBuf in, List<Object> out) {
    int max = Math.min(in.readableBytes(), MAX_HEADER_BYTES);
    String text = in.toString(in.readerIndex(), max, StandardCharsets.ISO_8859_1);
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      if (in.readableBytes() >= MAX_HEADER_BYTES) {
        fault(in, out, ErrorCodes.PARSE, "a head of more than " + MAX_HEADER_BYTES + " bytes");
      } else {
        scanned = in.readableBytes();
      }
      return false;
    }
    long size = -1;
    for (String line : text.substring(0, end).split("\r\n", -1)) {
      int colon = line.indexOf(':');
      String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
      String value = colon < 0 ? "" : line.substring(colon + 1).strip();
      if (name.equals("content-length") && size < 0 && value.matches("[0-9]{1,10}")) {
        size = Long.parseLong(value);
      } else if (!name.equals("content-type")) {
        fault(in, out, ErrorCodes.PARSE, "expected one Content-Length and perhaps a Content-Type");
        return false;
      }
    }
    if (size < 0) {
      fault(in, out, ErrorCodes.PARSE, "no Content-Length");
      return false;
    }
    if (size > limits.bytes()) {
      tooLarge(in, out);
      return false;
    }
    in.skipBytes(end + 4);
    length = (int) size;
    return true;
  }

  private static byte[] take(ByteBuf in, int size) {
    byte[] bytes = new byte[size];
    in.readBytes(bytes);
    return bytes;
  }

  private void tooLarge(ByteBuf in, List<Object> out) {
    fault(
        in, out, ErrorCodes.INVALID_REQUEST, "a message of more than " + limits.bytes() + " bytes");
  }

  private void fault(ByteBuf in, List<Object> out, int code, String why) {
    failed = true;
    in.skipBytes(in.readableBytes());
    out.add(new Frame.Fault(code, why));
  }
}
