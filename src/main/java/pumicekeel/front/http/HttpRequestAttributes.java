package pumicekeel.front.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import pumicekeel.call.RequestAttributes;

/** The attributes of an HTTP request whose head has arrived at this listener. */
record HttpRequestAttributes(String listener, HttpRequest head) implements RequestAttributes {

  @Override
  public String host() {
    return head.headers().get(HttpHeaderNames.HOST);
  }

  @Override
  public String path() {
    int query = head.uri().indexOf('?');
    return query < 0 ? head.uri() : head.uri().substring(0, query);
  }

  @Override
  public String method() {
    return head.method().name();
  }

  @Override
  public String className() {
    return head.headers().get("X-Service-Class");
  }

  @Override
  public String header(String name) {
    return head.headers().get(name);
  }
}
