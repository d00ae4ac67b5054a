package elmsail.clerk.servers;

import io.netty.handler.codec.http.FullHttpRequest;

/** A request as it goes to a server. */
public interface Outgoing {
  /** Its {@code Elmsail-Request-Id}. */
  String id();

  Prompt prompt();

  /** Whether it is an item of a lot. */
  boolean item();

  /** Made just before it is written, so that the time left in it is right. */
  FullHttpRequest message(String serverId);
}
