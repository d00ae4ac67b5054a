package elmsail.controlplane;

import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/** The control address: which handler a call goes to. */
record OperatorApi(HttpHandler replace, HttpHandler amend, HttpHandler read, HttpHandler retire)
    implements HttpHandler {

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    boolean post = "POST".equals(request.method());
    boolean get = "GET".equals(request.method());
    String path = request.path();
    if ("/Timetable.Replace".equals(path)) {
      return post ? replace.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if ("/Timetable.Amend".equals(path)) {
      return post ? amend.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if ("/Timetable.Read".equals(path)) {
      return get ? read.handle(request) : Replies.completed(Replies.error(405, "GET"));
    }
    if (path.startsWith(DecommissionHandler.BEGIN_PATH)) {
      return post ? retire.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if (path.startsWith(DecommissionHandler.READ_PATH)) {
      return get ? retire.handle(request) : Replies.completed(Replies.error(405, "GET"));
    }
    return Replies.completed(Replies.error(404, "no such call"));
  }
}
