package elmsail.controlplane;

import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * Routes the operators' calls at the control address by path and method. Runs on the event loop.
 *
 * @param replace handles replacements of the configuration
 * @param amend handles amendments of the configuration
 * @param read handles reads of the configuration
 * @param decommission handles the decommissioning of stores
 */
record OperatorApi(
    HttpHandler replace, HttpHandler amend, HttpHandler read, HttpHandler decommission)
    implements HttpHandler {
  private static final String REPLACE_PATH = "/Timetable.Replace";
  private static final String AMEND_PATH = "/Timetable.Amend";
  private static final String READ_PATH = "/Timetable.Read";

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    boolean isPost = "POST".equals(request.method());
    boolean isGet = "GET".equals(request.method());
    String path = request.path();
    if (REPLACE_PATH.equals(path)) {
      return isPost ? replace.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if (AMEND_PATH.equals(path)) {
      return isPost ? amend.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if (READ_PATH.equals(path)) {
      return isGet ? read.handle(request) : Replies.completed(Replies.error(405, "GET"));
    }
    if (path.startsWith(DecommissionHandler.BEGIN_PATH)) {
      return isPost ? decommission.handle(request) : Replies.completed(Replies.error(405, "POST"));
    }
    if (path.startsWith(DecommissionHandler.READ_PATH)) {
      return isGet ? decommission.handle(request) : Replies.completed(Replies.error(405, "GET"));
    }
    return Replies.completed(Replies.error(404, "no such call"));
  }
}
