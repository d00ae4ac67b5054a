package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The asker's side of one set. Runs on the loop; what it keeps is bounded, and only spares rounds.
 */
public final class RegisterClient implements Register {
  /** No single call of an attempt waits longer. */
  static final long CALL_TIMEOUT_MS = 1_200;

  private static final int MAX_CACHED_PROMISES = 512;
  private static final int MAX_CACHED_VALUE_BYTES = 8 << 10;
  private static final long INITIAL_BACKOFF_MS = 40;
  private static final long MAX_BACKOFF_MS = 150;
  private static final long MIN_BACKOFF_MS = 5;

  /**
   * What this client's last change of a key left behind; {@code next} null: no promise to go on
   * with.
   */
  record CachedPromise(Ballot nextBallot, Ballot accepted, byte[] value, VoterSet voterSet) {}

  private final String set;
  final RpcClient rpcClient;
  final Timers timers;
  final VoterSetSource voterSets;
  private final long proposerId;
  private final ToIntFunction<String> distance;
  private final Map<String, CachedPromise> cachedPromises =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CachedPromise> eldest) {
          return size() > MAX_CACHED_PROMISES;
        }
      };
  private final SplittableRandom random;
  final RelaySelector relaySelector;
  private long highestRound;

  /**
   * @param proposerId of this client alone, in all processes and instances: drawn at random
   * @param ownAddress a replica there is asked first
   * @param distance of an inner address: the lower, the earlier it is asked for bytes
   */
  public RegisterClient(
      String set,
      RpcClient rpcClient,
      Timers timers,
      VoterSetSource voterSets,
      long proposerId,
      String ownAddress,
      ToIntFunction<String> distance) {
    this.set = set;
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.voterSets = voterSets;
    this.proposerId = proposerId;
    random = new SplittableRandom(proposerId);
    relaySelector = new RelaySelector(timers);
    this.distance =
        address -> address.equals(ownAddress) ? Integer.MIN_VALUE : distance.applyAsInt(address);
  }

  @Override
  public CompletableFuture<VersionedValue> read(String key, Ballot knownBallot, long timeoutMs) {
    QuorumRead read =
        new QuorumRead(this, key, knownBallot == null ? new Ballot() : knownBallot, timeoutMs);
    read.start();
    return read.result();
  }

  @Override
  public CompletableFuture<CommittedState> change(
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] sideEffect,
      long timeoutMs) {
    Proposer proposer =
        new Proposer(this, key, change, blobs == null ? List.of() : blobs, sideEffect, timeoutMs);
    proposer.start();
    return proposer.result();
  }

  @Override
  public CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs) {
    BlobRead read = new BlobRead(this, key, name, timeoutMs);
    read.start();
    return read.result();
  }

  String set() {
    return set;
  }

  Ballot nextBallot() {
    highestRound++;
    return Ballots.of(highestRound, proposerId);
  }

  /** The ballot to ask the promise of, behind the one that is being accepted. */
  Ballot nextBallotAfter(Ballot ballot) {
    Ballot next = Ballots.of(Math.max(highestRound, ballot.round) + 1, proposerId);
    highestRound = next.round;
    return next;
  }

  void observe(Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, ballot.round);
    }
  }

  CachedPromise cachedPromises(String key) {
    return cachedPromises.get(key);
  }

  /** Each promise is good for one accept. */
  CachedPromise takeCachedPromise(String key) {
    return cachedPromises.remove(key);
  }

  void cachePromise(String key, CachedPromise promise) {
    boolean tooLarge = promise.value != null && promise.value.length > MAX_CACHED_VALUE_BYTES;
    cachedPromises.put(
        key, tooLarge ? new CachedPromise(null, new Ballot(), null, promise.voterSet) : promise);
  }

  /** Positions of the voter slots, the nearest first. */
  int[] slotsNearestFirst(VoterSet voterSet) {
    List<Voter> voters = voterSet.voters;
    int[] order = new int[voters.size()];
    for (int i = 0; i < order.length; i++) {
      int at = i;
      int distanceOfSlot = distance.applyAsInt(voters.get(i).address);
      while (at > 0 && distance.applyAsInt(voters.get(order[at - 1]).address) > distanceOfSlot) {
        order[at] = order[at - 1];
        at--;
      }
      order[at] = i;
    }
    return order;
  }

  /** A random wait before try number {@code tries}, growing from 5 to 40 up to 150 ms. */
  long backoffMs(int retries) {
    long maxMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(retries, 4));
    return random.nextLong(MIN_BACKOFF_MS, maxMs + 1);
  }

  static ElmsailException failure(ErrorCode code, String set, String key) {
    return new ElmsailException(code, set + " " + key);
  }
}
