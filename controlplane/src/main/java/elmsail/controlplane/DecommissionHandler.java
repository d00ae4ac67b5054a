package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
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
  static final String BEGIN_PATH = "/Retire.Begin/";
  static final String READ_PATH = "/Retire.Read/";

  private static final long CHANGE_TIMEOUT_MS = 900;

  /** Who has been in contact for a shorter time isn't sure yet who is unknown. */
  private static final long MIN_OBSERVATION_MS = 3_000;

  /**
   * "delivered" needs the stores' word from so long after this process saw NODE in the list: by
   * then whoever directs placement has seen it too ({@link #MAX_LIST_AGE_MS}), and a store that was
   * told to join before that has been heard to do so.
   */
  private static final long MIN_TIME_SINCE_LISTED_MS = 3_000;

  /** Whoever directs placement has read the list of stores to be emptied within so many ms. */
  static final long MAX_LIST_AGE_MS = 2_500;

  private static final long MAX_AVAILABLE_HEARTBEAT_AGE_MS = 2_500;
  private static final long MAX_VOTER_HEARTBEAT_AGE_MS = 1_500;

  /** A store unheard for that long does not come back by itself. */
  private static final long MAX_POSSIBLE_HEARTBEAT_AGE_MS = 30_000;

  private final Register register;
  private final Timers timers;
  private final HeartbeatTable storeHeartbeats;
  private final Supplier<VoterSet> jobStoreVoters;
  private final CommittedValue committedDecommissions;
  private final int targetVoterCount;
  private final QuorumContact quorumContact;
  private final StoreHeartbeatQuery heartbeatQuery;
  private final Map<String, Long> listedAtMs = new HashMap<>();
  private final Set<String> decommissioned = new HashSet<>();

  /**
   * Makes one.
   *
   * @param jobStoreVoters the newest voter set of the stores that is known; without voter slots
   *     before the founding
   * @param committedDecommissions the list of stores to be emptied
   * @param targetVoterCount how many voter slots the stores have, or will have
   * @param quorumContact of this process with a majority
   * @param heartbeatQuery of the other control-plane nodes
   */
  DecommissionHandler(
      Register register,
      Timers timers,
      HeartbeatTable storeHeartbeats,
      Supplier<VoterSet> jobStoreVoters,
      CommittedValue committedDecommissions,
      QuorumContact quorumContact,
      int targetVoterCount,
      StoreHeartbeatQuery heartbeatQuery) {
    this.register = register;
    this.timers = timers;
    this.storeHeartbeats = storeHeartbeats;
    this.jobStoreVoters = jobStoreVoters;
    this.committedDecommissions = committedDecommissions;
    this.targetVoterCount = targetVoterCount;
    this.quorumContact = quorumContact;
    this.heartbeatQuery = heartbeatQuery;
    heartbeatQuery.setLocalHeartbeats(this::localHeartbeats);
    committedDecommissions.addListener(this::onListCommitted);
  }

  private void onListCommitted(byte[] value) {
    for (String node : DecommissionList.decode(value)) {
      listedAtMs.putIfAbsent(node, timers.now());
    }
  }

  private StoreHeartbeats localHeartbeats() {
    Map<String, Long> heartbeatAgesMs = new TreeMap<>();
    for (HeartbeatTable.Member store : storeHeartbeats.members()) {
      heartbeatAgesMs.merge(store.machine(), timers.now() - store.lastHeartbeatAtMs(), Math::min);
    }
    return new StoreHeartbeats(
        quorumContact.unbrokenMs() >= MIN_OBSERVATION_MS && committedDecommissions.hasBeenRead(),
        heartbeatAgesMs);
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
    boolean begin = call.path().startsWith(BEGIN_PATH);
    String node = call.path().substring(begin ? BEGIN_PATH.length() : READ_PATH.length());
    if (isKnown(node)) {
      return respond(begin, node);
    }
    return heartbeatQuery
        .query()
        .thenCompose(
            heartbeats ->
                heartbeats.heartbeatAgesMs().containsKey(node)
                    ? respond(begin, node)
                    : Replies.completed(Replies.error(404, "unknown")))
        .exceptionally(failure -> Replies.error(503, "not sure who is there"));
  }

  private CompletableFuture<SimpleHttpResponse> respond(boolean begin, String node) {
    return begin ? begin(node) : Replies.completed(readState(node));
  }

  private boolean isKnown(String node) {
    if (node.isEmpty()) {
      return false;
    }
    if (storeHeartbeats.memberOnMachine(node) != null
        || DecommissionList.decode(committedDecommissions.value()).contains(node)) {
      return true;
    }
    return holdsVoterSlot(node);
  }

  private CompletableFuture<SimpleHttpResponse> begin(String node) {
    List<Set<String>> listed = new ArrayList<>(List.of(Set.of()));
    boolean[] refused = {false};
    return register
        .change(
            DecommissionList.KEY,
            found -> {
              Set<String> names = DecommissionList.decode(found.value());
              listed.set(0, names);
              refused[0] = !names.contains(node) && !hasEnoughStoresWithout(node, names);
              boolean add = !refused[0] && !names.contains(node);
              return new Register.ProposedValue(
                  add ? DecommissionList.encodeWith(names, node) : null, List.of());
            },
            List.of(),
            null,
            CHANGE_TIMEOUT_MS)
        .thenCompose(
            outcome -> {
              committedDecommissions.offer(outcome.current());
              return refused[0]
                  ? rejectForTooFewStores(node, listed.get(0))
                  : Replies.completed(Replies.json(200, "{}"));
            })
        .exceptionally(failure -> Replies.error(503, "not reached"));
  }

  /** Whether enough stores that stay are heard here at present. */
  private boolean hasEnoughStoresWithout(String node, Set<String> listed) {
    int available = 0;
    for (HeartbeatTable.Member store : storeHeartbeats.members()) {
      boolean remains = !store.machine().equals(node) && !listed.contains(store.machine());
      available +=
          remains && timers.now() - store.lastHeartbeatAtMs() <= MAX_AVAILABLE_HEARTBEAT_AGE_MS
              ? 1
              : 0;
    }
    return available >= requiredStores();
  }

  /** 409 if a majority of the control-plane nodes is sure that too few would remain, else 503. */
  private CompletableFuture<SimpleHttpResponse> rejectForTooFewStores(
      String node, Set<String> listed) {
    return heartbeatQuery
        .query()
        .thenApply(
            heartbeats -> {
              int possiblyAvailable = 0;
              for (Map.Entry<String, Long> store : heartbeats.heartbeatAgesMs().entrySet()) {
                boolean remains = !store.getKey().equals(node) && !listed.contains(store.getKey());
                possiblyAvailable +=
                    remains && store.getValue() <= MAX_POSSIBLE_HEARTBEAT_AGE_MS ? 1 : 0;
              }
              return possiblyAvailable >= requiredStores()
                  ? Replies.error(503, "too few are heard at present")
                  : Replies.error(409, "too few would remain");
            });
  }

  private int requiredStores() {
    return jobStoreVoters.get().voters.isEmpty()
        ? targetVoterCount
        : jobStoreVoters.get().voters.size();
  }

  private SimpleHttpResponse readState(String node) {
    if (!quorumContact.isCurrent()
        || !committedDecommissions.quorumContact().isWithin(MAX_LIST_AGE_MS)) {
      return Replies.error(503, "no contact with a majority");
    }
    boolean isListed = listedAtMs.containsKey(node);
    if (isListed && !holdsVoterSlot(node) && (decommissioned.contains(node) || isReplaced(node))) {
      decommissioned.add(node);
      return Replies.json(200, "{\"state\":\"delivered\"}");
    }
    return Replies.json(200, "{\"state\":\"in_service\"}");
  }

  private boolean holdsVoterSlot(String node) {
    for (Voter voter : jobStoreVoters.get().voters) {
      if (voter.machine.equals(node)) {
        return true;
      }
    }
    return false;
  }

  private boolean isReplaced(String node) {
    long now = timers.now();
    VoterSet voterSet = jobStoreVoters.get();
    for (Voter voter : voterSet.voters) {
      HeartbeatTable.Member heartbeat = storeHeartbeats.memberAt(voter.address);
      if (heartbeat == null
          || now - heartbeat.lastHeartbeatAtMs() > MAX_VOTER_HEARTBEAT_AGE_MS
          || heartbeat.lastHeartbeatAtMs() - listedAtMs.get(node) < MIN_TIME_SINCE_LISTED_MS
          || !heartbeat.isVoting()
          || heartbeat.instanceId() != voter.instanceId
          || !VoterSets.areEqual(heartbeat.jobStoreVoters(), voterSet)) {
        return false;
      }
    }
    HeartbeatTable.Member ownHeartbeat = storeHeartbeats.memberOnMachine(node);
    boolean stillVoting =
        ownHeartbeat != null
            && now - ownHeartbeat.lastHeartbeatAtMs() <= MAX_VOTER_HEARTBEAT_AGE_MS
            && ownHeartbeat.isVoting();
    return !voterSet.voters.isEmpty() && !stillVoting;
  }
}
