package elmsail.notary;

import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import java.util.concurrent.CompletableFuture;

/** The control address: which handler a call goes to. */
record Operators(HttpHandler replace, HttpHandler read, HttpHandler retire) implements HttpHandler {

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    boolean post = "POST".equals(call.method());
    boolean get = "GET".equals(call.method());
    String path = call.path();
    if ("/Timetable.Replace".equals(path)) {
      return post ? replace.handle(call) : Replies.now(Replies.why(405, "POST"));
    }
    if ("/Timetable.Read".equals(path)) {
      return get ? read.handle(call) : Replies.now(Replies.why(405, "GET"));
    }
    if (path.startsWith(RetireCalls.BEGIN)) {
      return post ? retire.handle(call) : Replies.now(Replies.why(405, "POST"));
    }
    if (path.startsWith(RetireCalls.READ)) {
      return get ? retire.handle(call) : Replies.now(Replies.why(405, "GET"));
    }
    return Replies.now(Replies.why(404, "no such call"));
  }
}
