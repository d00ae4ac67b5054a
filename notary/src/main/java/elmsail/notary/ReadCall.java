package elmsail.notary;

import elmsail.register.Register;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import java.util.concurrent.CompletableFuture;

/** {@code GET /Timetable.Read}: read at a majority, or 503; never a local guess. */
final class ReadCall implements HttpHandler {
  private static final long ANSWER_WITHIN_MS = 900;

  private final Register register;
  private final Decided decided;

  ReadCall(Register register, Decided decided) {
    this.register = register;
    this.decided = decided;
  }

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    return register.read(ReplaceCall.KEY, decided.known(), ANSWER_WITHIN_MS).handle((now, failed) -> {
      if (failed != null) {
        return Replies.why(503, "not reached");
      }
      byte[] value = decided.valueOf(now);
      decided.take(now);
      return value == null ? Replies.why(404, "none yet") : Replies.json(200, Editions.of(value).bytes());
    });
  }
}
