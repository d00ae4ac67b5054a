package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Manages the list of stores to decommission, which the register stores under {@link
 * DecommissionList#KEY}. Runs on the event loop.
 *
 * <p>This node reports a store as {@link DecommissionState#DECOMMISSIONED} only while the node is
 * in contact with a majority, and only if every holder of a voter slot has recently reported that
 * it votes under the same voter set, in which the store has no slot. The lease holder never assigns
 * a slot to a listed store, so the state is final.
 */
final class DecommissionManager {
  /** Maximum age of the list that the lease holder has read when it assigns slots. */
  static final long MAX_LIST_AGE_MS = 2_500;

  private static final long LIST_READ_INTERVAL_MS = 1_000;
  private static final long CHANGE_TIMEOUT_MS = 900;

  /**
   * Until this node has been in uninterrupted contact with a majority for this time, its heartbeat
   * table is not complete, so the absence of a store from the table proves nothing.
   */
  private static final long MIN_OBSERVATION_MS = 3_000;

  /**
   * A heartbeat counts as evidence of a decommissioning only if it arrives at least this long after
   * this node first read the store's name in the list. By then the lease holder has also read the
   * list ({@link #MAX_LIST_AGE_MS}), and a store that was assigned a slot earlier has reported that
   * it joined.
   */
  private static final long MIN_TIME_SINCE_LISTED_MS = 3_000;

  private static final long MAX_AVAILABLE_HEARTBEAT_AGE_MS = 2_500;
  private static final long MAX_VOTER_HEARTBEAT_AGE_MS = 1_500;

  /**
   * A store whose last heartbeat is older than this is assumed to be lost; a store with a newer
   * heartbeat may still return by itself.
   */
  private static final long MAX_RETURNING_HEARTBEAT_AGE_MS = 30_000;

  private final Register register;
  private final Timers timers;
  private final HeartbeatTable storeHeartbeats;
  private final KnownVoterSet jobStoreVoters;
  private final QuorumContact quorumContact;
  private final int targetVoterCount;
  private final PeerNotifier peerNotifier;
  private final StoreHeartbeatQuery heartbeatQuery;
  private final CommittedValue committedList;
  private final Map<String, Long> listedAtMs = new HashMap<>();
  private final Set<String> decommissioned = new HashSet<>();

  /** The result of a request to decommission a store. */
  enum BeginResult {
    /** The store is on the list, added by this request or an earlier one. */
    LISTED,
    /**
     * The store is not listed, which is final: according to a majority, too few stores would
     * remain.
     */
    TOO_FEW_STORES_REMAIN,
    /**
     * The store is not listed: enough stores may exist, but too few of them have sent a recent
     * heartbeat to this node.
     */
    TOO_FEW_RECENT_HEARTBEATS
  }

  /**
   * Creates a manager that reads nothing before {@link #refresh()}.
   *
   * @param environment of this process
   * @param register of the control-plane voters
   * @param storeHeartbeats received by this node
   * @param jobStoreVoters as this node knows them
   * @param quorumContact of this node with a majority of the control-plane voters
   * @param peerNotifier sends notifications to the other control-plane voters
   * @param heartbeatQuery queries the heartbeats that the other control-plane voters received
   */
  DecommissionManager(
      NodeEnvironment environment,
      Register register,
      HeartbeatTable storeHeartbeats,
      KnownVoterSet jobStoreVoters,
      QuorumContact quorumContact,
      PeerNotifier peerNotifier,
      StoreHeartbeatQuery heartbeatQuery) {
    this.register = register;
    this.timers = environment.timers();
    this.storeHeartbeats = storeHeartbeats;
    this.jobStoreVoters = jobStoreVoters;
    this.quorumContact = quorumContact;
    this.targetVoterCount = environment.targetVoterCount();
    this.peerNotifier = peerNotifier;
    this.heartbeatQuery = heartbeatQuery;
    committedList =
        new CommittedValue(register, DecommissionList.KEY, timers, LIST_READ_INTERVAL_MS);
    heartbeatQuery.setLocalHeartbeats(this::localHeartbeats);
  }

  /**
   * Starts to notify the peers of changes that this node reads, and to read the list at once on a
   * peer's notification.
   */
  void registerNotifications() {
    committedList.addListener(this::onListCommitted);
    peerNotifier.onNotification(PeerMessageKind.DECOMMISSIONS_CHANGED, committedList::refresh);
    peerNotifier.register(PeerMessageKind.STORE_HEARTBEATS, heartbeatQuery::respond);
  }

  /** Reads the list now and then repeatedly at an interval. */
  void refresh() {
    committedList.refresh();
  }

  void close() {
    committedList.close();
  }

  /** Names of the machines whose stores are to be decommissioned, from the last read. */
  Set<String> listedMachines() {
    return DecommissionList.decode(committedList.value());
  }

  /**
   * Whether the list was read from a majority recently enough for the assignment of voter slots.
   */
  boolean isListCurrent() {
    return committedList.quorumContact().isWithin(MAX_LIST_AGE_MS);
  }

  /**
   * Whether this node has a heartbeat of a store on that machine, the machine is in the list, or a
   * voter of the job store is on the machine.
   */
  boolean isKnown(String machine) {
    if (machine.isEmpty()) {
      return false;
    }
    return storeHeartbeats.memberOnMachine(machine) != null
        || listedMachines().contains(machine)
        || jobStoreVoters.hasVoterOnMachine(machine);
  }

  /**
   * Queries a majority of the control-plane voters and returns whether any of them received a
   * heartbeat from a store on that machine; fails with NO_QUORUM if no majority returns conclusive
   * heartbeats.
   */
  CompletableFuture<Boolean> isKnownToMajority(String machine) {
    return heartbeatQuery
        .query()
        .thenApply(heartbeats -> heartbeats.heartbeatAgesMs().containsKey(machine));
  }

  /**
   * Adds the store on that machine to the list, unless too few stores would remain for the voter
   * slots. Fails if the register cannot be changed, or if the heartbeats of a majority are needed
   * and no majority returns conclusive heartbeats.
   */
  CompletableFuture<BeginResult> begin(String machine) {
    ListChange change = new ListChange(machine);
    return register
        .change(DecommissionList.KEY, change::propose, List.of(), null, CHANGE_TIMEOUT_MS)
        .thenCompose(
            outcome -> {
              committedList.offer(outcome.current());
              return change.tooFewAvailable
                  ? explainTooFew(machine, change.listed)
                  : CompletableFuture.completedFuture(BeginResult.LISTED);
            });
  }

  /** One request to list a store; the fields hold the outcome of the last proposal. */
  private final class ListChange {
    private final String machine;
    private Set<String> listed = Set.of();
    private boolean tooFewAvailable;

    ListChange(String machine) {
      this.machine = machine;
    }

    Register.ProposedValue propose(Register.ObservedState observed) {
      listed = DecommissionList.decode(observed.value());
      boolean isListed = listed.contains(machine);
      tooFewAvailable = !isListed && !hasEnoughStoresWithout(machine, listed);
      if (tooFewAvailable) {
        return refusal(observed.value());
      }
      return isListed
          ? Register.ProposedValue.declined()
          : new Register.ProposedValue(DecommissionList.encodeWith(listed, machine), List.of());
    }
  }

  /**
   * Commits the list as it is. The refusal is final, so it must also hold if an earlier request
   * left a proposal. A list that was never written is written as an empty one, which nodes of an
   * older version can read.
   */
  private static Register.ProposedValue refusal(byte[] listValue) {
    return listValue == null
        ? new Register.ProposedValue(DecommissionList.encode(Set.of()), List.of())
        : Register.ProposedValue.declinedAndFenced();
  }

  /** Whether enough of the remaining stores have sent a recent heartbeat to this node. */
  private boolean hasEnoughStoresWithout(String machine, Set<String> listed) {
    int available = 0;
    for (HeartbeatTable.Member store : storeHeartbeats.members()) {
      boolean remains = !store.machine().equals(machine) && !listed.contains(store.machine());
      long ageMs = timers.now() - store.lastHeartbeatAtMs();
      available += remains && ageMs <= MAX_AVAILABLE_HEARTBEAT_AGE_MS ? 1 : 0;
    }
    return available >= requiredStores();
  }

  private CompletableFuture<BeginResult> explainTooFew(String machine, Set<String> listed) {
    return heartbeatQuery
        .query()
        .thenApply(
            heartbeats ->
                countStoresThatMayReturn(heartbeats, machine, listed) >= requiredStores()
                    ? BeginResult.TOO_FEW_RECENT_HEARTBEATS
                    : BeginResult.TOO_FEW_STORES_REMAIN);
  }

  private static int countStoresThatMayReturn(
      StoreHeartbeats heartbeats, String machine, Set<String> listed) {
    int count = 0;
    for (Map.Entry<String, Long> store : heartbeats.heartbeatAgesMs().entrySet()) {
      boolean remains = !store.getKey().equals(machine) && !listed.contains(store.getKey());
      count += remains && store.getValue() <= MAX_RETURNING_HEARTBEAT_AGE_MS ? 1 : 0;
    }
    return count;
  }

  private int requiredStores() {
    return jobStoreVoters.isEmpty() ? targetVoterCount : jobStoreVoters.current().voters.size();
  }

  /** The state of the store on that machine; empty without contact with a majority. */
  Optional<DecommissionState> state(String machine) {
    if (!quorumContact.isCurrent() || !isListCurrent()) {
      return Optional.empty();
    }
    if (listedAtMs.containsKey(machine)
        && !jobStoreVoters.hasVoterOnMachine(machine)
        && (decommissioned.contains(machine) || isReplaced(machine))) {
      decommissioned.add(machine);
      return Optional.of(DecommissionState.DECOMMISSIONED);
    }
    return Optional.of(DecommissionState.IN_SERVICE);
  }

  /** Whether all voters vote under the known voter set and the store itself no longer votes. */
  private boolean isReplaced(String machine) {
    VoterSet voterSet = jobStoreVoters.current();
    for (Voter voter : voterSet.voters) {
      if (!hasReportedVoting(voter, voterSet, listedAtMs.get(machine))) {
        return false;
      }
    }
    return !voterSet.voters.isEmpty() && !isStillVoting(machine);
  }

  private boolean hasReportedVoting(Voter voter, VoterSet voterSet, long listedAtMs) {
    HeartbeatTable.Member store = storeHeartbeats.memberAt(voter.address);
    return store != null
        && timers.now() - store.lastHeartbeatAtMs() <= MAX_VOTER_HEARTBEAT_AGE_MS
        && store.lastHeartbeatAtMs() - listedAtMs >= MIN_TIME_SINCE_LISTED_MS
        && store.isVoting()
        && store.instanceId() == voter.instanceId
        && VoterSets.areEqual(store.jobStoreVoters(), voterSet);
  }

  private boolean isStillVoting(String machine) {
    HeartbeatTable.Member store = storeHeartbeats.memberOnMachine(machine);
    return store != null
        && timers.now() - store.lastHeartbeatAtMs() <= MAX_VOTER_HEARTBEAT_AGE_MS
        && store.isVoting();
  }

  private void onListCommitted(byte[] value) {
    for (String machine : DecommissionList.decode(value)) {
      listedAtMs.putIfAbsent(machine, timers.now());
    }
    peerNotifier.notifyPeers(PeerMessageKind.DECOMMISSIONS_CHANGED);
  }

  private StoreHeartbeats localHeartbeats() {
    Map<String, Long> heartbeatAgesMs = new TreeMap<>();
    for (HeartbeatTable.Member store : storeHeartbeats.members()) {
      heartbeatAgesMs.merge(store.machine(), timers.now() - store.lastHeartbeatAtMs(), Math::min);
    }
    boolean isConclusive =
        quorumContact.unbrokenMs() >= MIN_OBSERVATION_MS && committedList.hasBeenRead();
    return new StoreHeartbeats(isConclusive, heartbeatAgesMs);
  }
}
