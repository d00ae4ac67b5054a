package elmsail.notary;

import elmsail.inner.words.Seat;
import elmsail.station.Settings;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import elmsail.timetable.pull.Puller;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Calls that only the holders of the head's seats can answer, as the vaults speak just to these. Others send
 * the caller there: the control port is the same on all machines.
 */
record SeatedOnly(HttpHandler handler, Settings settings, HeadSeats seats, Puller puller)
    implements HttpHandler {
  private static final long LATELY_MS = 2_500;

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    if (seats.holdsSeat()) {
      return handler.handle(call);
    }
    String nearest = null;
    long least = LATELY_MS;
    for (Seat seat : seats.of().seats) {
      long ago = puller.heardAgoMs(seat.address);
      if (ago < least) {
        least = ago;
        nearest = seat.address;
      }
    }
    String control = settings.slots().get("control");
    if (nearest == null || control == null) {
      return Replies.now(Replies.why(503, "no other notary is heard"));
    }
    String to = nearest.substring(0, nearest.lastIndexOf(':')) + control.substring(control.lastIndexOf(':'));
    return Replies.now(new HttpReply(307, Map.of("location", "http://" + to + call.path()), new byte[0]));
  }
}
