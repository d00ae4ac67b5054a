package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * {@code POST /Retire.Begin/NODE} and {@code GET /Retire.Read/NODE}. "delivered" is said only in
 * contact with a majority, and when every holder of a voter slot has told just now that it has
 * caught up under one and the same voter set, and none is NODE. The final refusals, 404 and 409,
 * rest on what a majority of the control-plane nodes has heard of the stores.
 */
final class DecommissionHandler implements HttpHandler {
  static final String BEGIN = "/Retire.Begin/";
  static final String READ = "/Retire.Read/";

  private static final long ANSWER_WITHIN_MS = 900;

  /** Who has been in contact for a shorter time isn't sure yet who is unknown. */
  private static final long LISTEN_MS = 3_000;

  /**
   * "delivered" needs the stores' word from so long after this process saw NODE in the list: by
   * then whoever directs placement has seen it too ({@link #LIST_KNOWN_WITHIN_MS}), and a store
   * that was told to join before that has been heard to do so.
   */
  private static final long SETTLE_MS = 3_000;

  /** Whoever directs placement has read the list of stores to be emptied within so many ms. */
  static final long LIST_KNOWN_WITHIN_MS = 2_500;

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
  private final QuorumContact contact;
  private final HeardStoresInquiry inquiry;
  private final Map<String, Long> listedAt = new HashMap<>();
  private final Set<String> delivered = new HashSet<>();

  /**
   * Makes one.
   *
   * @param storeSet the newest voter set of the stores that is known; without voter slots before
   *     the founding
   * @param retiring the list of stores to be emptied
   * @param voters how many voter slots the stores have, or will have
   * @param contact of this process with a majority
   * @param inquiry of the other control-plane nodes
   */
  DecommissionHandler(
      Register register,
      Timers timers,
      HeartbeatTable heard,
      Supplier<VoterSet> storeSet,
      CommittedValue retiring,
      QuorumContact contact,
      int voters,
      HeardStoresInquiry inquiry) {
    this.register = register;
    this.timers = timers;
    this.heard = heard;
    this.storeSet = storeSet;
    this.retiring = retiring;
    this.voters = voters;
    this.contact = contact;
    this.inquiry = inquiry;
    inquiry.heardHere(this::heardHere);
    retiring.whenNewer(this::listed);
  }

  private void listed(byte[] value) {
    for (String node : DecommissionList.of(value)) {
      listedAt.putIfAbsent(node, timers.now());
    }
  }

  private HeardStores heardHere() {
    Map<String, Long> agoMs = new TreeMap<>();
    for (HeartbeatTable.Member store : heard.stores()) {
      agoMs.merge(store.station(), timers.now() - store.lastAt(), Math::min);
    }
    return new HeardStores(contact.unbrokenMs() >= LISTEN_MS && retiring.read(), agoMs);
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
    boolean begin = call.path().startsWith(BEGIN);
    String node = call.path().substring(begin ? BEGIN.length() : READ.length());
    if (known(node)) {
      return answer(begin, node);
    }
    return inquiry
        .ask()
        .thenCompose(
            stores ->
                stores.agoMs().containsKey(node)
                    ? answer(begin, node)
                    : Replies.now(Replies.why(404, "unknown")))
        .exceptionally(failed -> Replies.why(503, "not sure who is there"));
  }

  private CompletableFuture<SimpleHttpResponse> answer(boolean begin, String node) {
    return begin ? begin(node) : Replies.now(read(node));
  }

  private boolean known(String node) {
    if (node.isEmpty()) {
      return false;
    }
    if (heard.station(node) != null || DecommissionList.of(retiring.value()).contains(node)) {
      return true;
    }
    return holdsSlot(node);
  }

  private CompletableFuture<SimpleHttpResponse> begin(String node) {
    List<Set<String>> listed = new ArrayList<>(List.of(Set.of()));
    boolean[] refused = {false};
    return register
        .change(
            DecommissionList.KEY,
            found -> {
              Set<String> names = DecommissionList.of(found.value());
              listed.set(0, names);
              refused[0] = !names.contains(node) && !roomWithout(node, names);
              boolean add = !refused[0] && !names.contains(node);
              return new Register.ProposedValue(
                  add ? DecommissionList.with(names, node) : null, List.of());
            },
            List.of(),
            null,
            ANSWER_WITHIN_MS)
        .thenCompose(
            held -> {
              retiring.take(held.current());
              return refused[0]
                  ? refusal(node, listed.get(0))
                  : Replies.now(Replies.json(200, "{}"));
            })
        .exceptionally(failed -> Replies.why(503, "not reached"));
  }

  /** Whether enough stores that stay are heard here at present. */
  private boolean roomWithout(String node, Set<String> listed) {
    int there = 0;
    for (HeartbeatTable.Member store : heard.stores()) {
      boolean stays = !store.station().equals(node) && !listed.contains(store.station());
      there += stays && timers.now() - store.lastAt() <= THERE_MS ? 1 : 0;
    }
    return there >= needed();
  }

  /** 409 if a majority of the control-plane nodes is sure that too few would remain, else 503. */
  private CompletableFuture<SimpleHttpResponse> refusal(String node, Set<String> listed) {
    return inquiry
        .ask()
        .thenApply(
            stores -> {
              int perhaps = 0;
              for (Map.Entry<String, Long> store : stores.agoMs().entrySet()) {
                boolean stays = !store.getKey().equals(node) && !listed.contains(store.getKey());
                perhaps += stays && store.getValue() <= PERHAPS_MS ? 1 : 0;
              }
              return perhaps >= needed()
                  ? Replies.why(503, "too few are heard at present")
                  : Replies.why(409, "too few would remain");
            });
  }

  private int needed() {
    return storeSet.get().voters.isEmpty() ? voters : storeSet.get().voters.size();
  }

  private SimpleHttpResponse read(String node) {
    if (!contact.current() || !retiring.contact().within(LIST_KNOWN_WITHIN_MS)) {
      return Replies.why(503, "no contact with a majority");
    }
    boolean asked = listedAt.containsKey(node);
    if (asked && !holdsSlot(node) && (delivered.contains(node) || emptied(node))) {
      delivered.add(node);
      return Replies.json(200, "{\"state\":\"delivered\"}");
    }
    return Replies.json(200, "{\"state\":\"in_service\"}");
  }

  private boolean holdsSlot(String node) {
    for (Voter slot : storeSet.get().voters) {
      if (slot.machine.equals(node)) {
        return true;
      }
    }
    return false;
  }

  private boolean emptied(String node) {
    long now = timers.now();
    VoterSet voterSet = storeSet.get();
    for (Voter slot : voterSet.voters) {
      HeartbeatTable.Member holder = heard.store(slot.address);
      if (holder == null
          || now - holder.lastAt() > JUST_NOW_MS
          || holder.lastAt() - listedAt.get(node) < SETTLE_MS
          || !holder.voting()
          || holder.instanceId() != slot.instanceId
          || !VoterSets.areEqual(holder.storeSet(), voterSet)) {
        return false;
      }
    }
    HeartbeatTable.Member itself = heard.station(node);
    boolean stillSeated = itself != null && now - itself.lastAt() <= JUST_NOW_MS && itself.voting();
    return !voterSet.voters.isEmpty() && !stillSeated;
  }
}
