package pumicekeel.runtime;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Creates the header fields of received messages: a limited number of them, since each costs far more than its bytes. */
public final class LimitedHeaders implements HttpHeadersFactory {

  /** The largest number of fields of a head or a trailer; the head is malformed beyond it. */
  public static final int MAX_FIELDS = 100;

  /** The factory for all decoders. */
  public static final LimitedHeaders FACTORY = new LimitedHeaders();

  private LimitedHeaders() {}

  @Override
  public HttpHeaders newHeaders() {
    return new Fields();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new Fields();
  }

  private static final class Fields extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      checkCount();
      return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
      checkCount();
      return super.add(name, value);
    }

    private void checkCount() {
      if (size() >= MAX_FIELDS) {
        throw new TooLongHttpHeaderException("over " + MAX_FIELDS + " header fields");
      }
    }
  }
}
