package elmsail.notary;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.register.Register;
import elmsail.register.SeatingRules;
import elmsail.station.Timers;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * {@code POST /Retire.Begin/NODE} and {@code GET /Retire.Read/NODE}. "delivered" is said only when every
 * holder of a seat has told just now that it has caught up under one and the same seating, and none is NODE.
 */
final class RetireCalls implements HttpHandler {
  static final String BEGIN = "/Retire.Begin/";
  static final String READ = "/Retire.Read/";

  private static final long ANSWER_WITHIN_MS = 900;
  /** So long after the start it isn't sure yet who is unknown. */
  private static final long LISTEN_MS = 3_000;
  private static final long THERE_MS = 2_500;
  private static final long JUST_NOW_MS = 1_500;
  /** A vault unheard for that long does not come back by itself. */
  private static final long PERHAPS_MS = 30_000;

  private final Register register;
  private final Timers timers;
  private final Heard heard;
  private final Supplier<Seating> shelf;
  private final Decided retiring;
  private final int seats;
  private final long start;
  private final Set<String> delivered = new HashSet<>();

  /**
   * Makes one.
   *
   * @param shelf the newest seating of the vaults that is known; without seats before the founding
   * @param seats how many it has, or will have
   */
  RetireCalls(Register register, Timers timers, Heard heard, Supplier<Seating> shelf, Decided retiring,
      int seats) {
    this.register = register;
    this.timers = timers;
    this.heard = heard;
    this.shelf = shelf;
    this.retiring = retiring;
    this.seats = seats;
    this.start = timers.now();
  }

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    boolean begin = call.path().startsWith(BEGIN);
    String node = call.path().substring(begin ? BEGIN.length() : READ.length());
    if (!known(node)) {
      boolean sure = timers.now() - start >= LISTEN_MS && retiring.read();
      return Replies.now(sure ? Replies.why(404, "unknown") : Replies.why(503, "just started"));
    }
    return begin ? begin(node) : Replies.now(read(node));
  }

  private boolean known(String node) {
    if (node.isEmpty()) {
      return false;
    }
    if (heard.station(node) != null || Stations.of(retiring.value()).contains(node)) {
      return true;
    }
    for (Seat seat : shelf.get().seats) {
      if (seat.station.equals(node)) {
        return true;
      }
    }
    return false;
  }

  private CompletableFuture<HttpReply> begin(String node) {
    int[] status = {200};
    return register.change(Stations.KEY, found -> {
      Set<String> names = Stations.of(found.value());
      status[0] = names.contains(node) ? 200 : room(node, names);
      boolean add = status[0] == 200 && !names.contains(node);
      return new Register.Wanted(add ? Stations.with(names, node) : null, List.of());
    }, List.of(), null, ANSWER_WITHIN_MS).handle((held, failed) -> {
      if (failed != null) {
        return Replies.why(503, "not reached");
      }
      retiring.take(held.now());
      return switch (status[0]) {
        case 200 -> Replies.json(200, "{}");
        case 409 -> Replies.why(409, "too few would remain");
        default -> Replies.why(503, "too few are heard at present");
      };
    });
  }

  /** 200 if enough vaults remain, 503 if they perhaps do, 409 if they don't. */
  private int room(String node, Set<String> names) {
    long now = timers.now();
    int there = 0;
    int perhaps = 0;
    for (Heard.Vault vault : heard.vaults()) {
      if (!vault.station().equals(node) && !names.contains(vault.station())) {
        long ago = now - vault.lastAt();
        there += ago <= THERE_MS ? 1 : 0;
        perhaps += ago <= PERHAPS_MS ? 1 : 0;
      }
    }
    int needed = shelf.get().seats.isEmpty() ? seats : shelf.get().seats.size();
    if (there >= needed) {
      return 200;
    }
    return perhaps >= needed || now - start < LISTEN_MS ? 503 : 409;
  }

  private HttpReply read(String node) {
    boolean asked = Stations.of(retiring.value()).contains(node);
    if (asked && (delivered.contains(node) || emptied(node))) {
      delivered.add(node);
      return Replies.json(200, "{\"state\":\"delivered\"}");
    }
    return Replies.json(200, "{\"state\":\"in_service\"}");
  }

  private boolean emptied(String node) {
    long now = timers.now();
    Seating seating = shelf.get();
    for (Seat seat : seating.seats) {
      Heard.Vault holder = heard.vault(seat.address);
      if (seat.station.equals(node) || holder == null || now - holder.lastAt() > JUST_NOW_MS
          || !holder.seated() || holder.life() != seat.life || !SeatingRules.same(holder.shelf(), seating)) {
        return false;
      }
    }
    Heard.Vault itself = heard.station(node);
    boolean stillSeated = itself != null && now - itself.lastAt() <= JUST_NOW_MS && itself.seated();
    return !seating.seats.isEmpty() && !stillSeated;
  }
}
