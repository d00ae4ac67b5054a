package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpCall;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.HttpReply;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * {@code POST /Retire.Begin/NODE} and {@code GET /Retire.Read/NODE}. "delivered" is said only when
 * every holder of a voter slot has told just now that it has caught up under one and the same voter
 * set, and none is NODE.
 */
final class DecommissionHandler implements HttpHandler {
  static final String BEGIN = "/Retire.Begin/";
  static final String READ = "/Retire.Read/";

  private static final long ANSWER_WITHIN_MS = 900;

  /** So long after the start it isn't sure yet who is unknown. */
  private static final long LISTEN_MS = 3_000;

  private static final long THERE_MS = 2_500;
  private static final long JUST_NOW_MS = 1_500;

  /** A store unheard for that long does not come back by itself. */
  private static final long PERHAPS_MS = 30_000;

  private final Register register;
  private final Timers timers;
  private final HeartbeatTable heard;
  private final Supplier<VoterSet> storeSet;
  private final CommittedValue retiring;
  private final int voters;
  private final long start;
  private final Set<String> delivered = new HashSet<>();

  /**
   * Makes one.
   *
   * @param storeSet the newest voter set of the stores that is known; without voter slots before
   *     the founding
   * @param voters how many it has, or will have
   */
  DecommissionHandler(
      Register register,
      Timers timers,
      HeartbeatTable heard,
      Supplier<VoterSet> storeSet,
      CommittedValue retiring,
      int voters) {
    this.register = register;
    this.timers = timers;
    this.heard = heard;
    this.storeSet = storeSet;
    this.retiring = retiring;
    this.voters = voters;
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
    if (heard.station(node) != null || DecommissionList.of(retiring.value()).contains(node)) {
      return true;
    }
    for (Voter slot : storeSet.get().voters) {
      if (slot.station.equals(node)) {
        return true;
      }
    }
    return false;
  }

  private CompletableFuture<HttpReply> begin(String node) {
    int[] status = {200};
    return register
        .change(
            DecommissionList.KEY,
            found -> {
              Set<String> names = DecommissionList.of(found.value());
              status[0] = names.contains(node) ? 200 : room(node, names);
              boolean add = status[0] == 200 && !names.contains(node);
              return new Register.Wanted(
                  add ? DecommissionList.with(names, node) : null, List.of());
            },
            List.of(),
            null,
            ANSWER_WITHIN_MS)
        .handle(
            (held, failed) -> {
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

  /** 200 if enough stores remain, 503 if they perhaps do, 409 if they don't. */
  private int room(String node, Set<String> names) {
    long now = timers.now();
    int there = 0;
    int perhaps = 0;
    for (HeartbeatTable.Vault store : heard.stores()) {
      if (!store.station().equals(node) && !names.contains(store.station())) {
        long ago = now - store.lastAt();
        there += ago <= THERE_MS ? 1 : 0;
        perhaps += ago <= PERHAPS_MS ? 1 : 0;
      }
    }
    int needed = storeSet.get().voters.isEmpty() ? voters : storeSet.get().voters.size();
    if (there >= needed) {
      return 200;
    }
    return perhaps >= needed || now - start < LISTEN_MS ? 503 : 409;
  }

  private HttpReply read(String node) {
    boolean asked = DecommissionList.of(retiring.value()).contains(node);
    if (asked && (delivered.contains(node) || emptied(node))) {
      delivered.add(node);
      return Replies.json(200, "{\"state\":\"delivered\"}");
    }
    return Replies.json(200, "{\"state\":\"in_service\"}");
  }

  private boolean emptied(String node) {
    long now = timers.now();
    VoterSet voterSet = storeSet.get();
    for (Voter slot : voterSet.voters) {
      HeartbeatTable.Vault holder = heard.store(slot.address);
      if (slot.station.equals(node)
          || holder == null
          || now - holder.lastAt() > JUST_NOW_MS
          || !holder.voting()
          || holder.instanceId() != slot.instanceId
          || !VoterSets.same(holder.storeSet(), voterSet)) {
        return false;
      }
    }
    HeartbeatTable.Vault itself = heard.station(node);
    boolean stillSeated = itself != null && now - itself.lastAt() <= JUST_NOW_MS && itself.voting();
    return !voterSet.voters.isEmpty() && !stillSeated;
  }
}
