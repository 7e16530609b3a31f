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
 * Splits the bytes of a connection into {@link Frame}s and enforces the limits while they arrive. After a fault, all further
 * input is discarded. Emits nothing while {@code accepting} returns false; {@link #resume} continues.
 */
public final class FrameDecoder extends ByteToMessageDecoder {

  /** Maximum size of a header with Content-Length and perhaps Content-Type. */
  static final int MAX_HEADER_BYTES = 512;

  private final Limits limits;
  private final ValueScanner scanner;
  private final BooleanSupplier accepting;
  private Framing framing;
  /** The number of buffered bytes of the current message that need not be scanned again. */
  private int scanned;
  /** The length that the last header states; -1 while no header is complete. */
  private int length = -1;

  private boolean failed;
  /** A read is in progress; see {@link #resume}. */
  private boolean reading;

  private ChannelHandlerContext ctx;

  public FrameDecoder(Framing framing, Limits limits, BooleanSupplier accepting) {
    this.framing = framing;
    this.limits = limits;
    this.accepting = accepting;
    scanner = new ValueScanner(limits);
  }

  /** Returns the framing: the detected one, or {@link Framing#DETECT} until then. Answers use the same framing. */
  public Framing framing() {
    return framing;
  }

  /** Returns whether part of a message, or messages not yet emitted, are buffered. */
  public boolean hasBufferedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns the number of buffered bytes of partial messages and of messages not yet emitted. */
  public int bufferedBytes() {
    return actualReadableBytes();
  }

  /** Discards buffered and all further input. */
  public void discard() {
    failed = true;
    if (hasBufferedBytes()) {
      internalBuffer().skipBytes(actualReadableBytes());
    }
  }

  /** Requests no read while nothing is accepted: Netty's decoder would read again whenever a read emits nothing. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    if (accepting.getAsBoolean()) {
      super.channelReadComplete(context);
    } else {
      context.fireChannelReadComplete();
    }
  }

  /** Marks a read in progress, so that {@link #resume} does not start a nested one and messages stay in order. */
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

  /** Continues with buffered input; returns false from within a read, which continues by itself. Event loop only. */
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

  /** Keeps buffered input when the peer shuts down its output: messages received before are still answered. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      context.fireUserEventTriggered(event);
    } else {
      super.userEventTriggered(context, event);
    }
  }

  /** Discards what is left when the connection has closed. */
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

  /** Reads a header and the length that it states; returns false if it is incomplete or malformed. */
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
