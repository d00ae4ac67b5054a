package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The client side of one set. Starts one {@link QuorumOperation} for each call, and holds the state
 * that operations share. Runs on one event loop. Its caches are bounded, and are used only to save
 * round trips.
 */
public final class RegisterClient implements Register {
  /** The longest timeout of a single call to a voter. */
  static final long CALL_TIMEOUT_MS = 1_200;

  private static final int MAX_CACHED_PROMISES = 512;
  private static final int MAX_CACHED_VALUE_BYTES = 8 << 10;
  private static final long INITIAL_BACKOFF_MS = 40;
  private static final long MAX_BACKOFF_MS = 150;
  private static final long MIN_BACKOFF_MS = 5;

  /**
   * The result of this client's last change of a key, which the next change of the key may use.
   *
   * @param nextBallot the ballot that a majority promised together with that change; null if no
   *     majority did
   * @param value the value that was committed
   * @param voterSet the voter set under which that change was committed
   */
  record CachedPromise(Ballot nextBallot, byte[] value, VoterSet voterSet) {

    /** Records only that the client changed the key before. */
    static CachedPromise none(VoterSet voterSet) {
      return new CachedPromise(null, null, voterSet);
    }

    /** Whether the next change under this voter set may skip its prepare phase. */
    boolean isUsableUnder(VoterSet current) {
      return nextBallot != null && VoterSets.areEqual(voterSet, current);
    }
  }

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
   * Creates a client of one set.
   *
   * @param proposerId unique among all clients that the set ever has; drawn at random
   * @param ownAddress the address whose voter counts as the nearest
   * @param distance the distance of a voter's address; values and blobs are requested from the
   *     voters of the lowest distance first
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

  /** The name of the set. */
  String set() {
    return set;
  }

  /** A ballot of this client that is higher than all ballots it has observed. */
  Ballot nextBallot() {
    highestRound++;
    return Ballots.of(highestRound, proposerId);
  }

  /** A ballot of this client that is higher than all ballots it has observed and than this one. */
  Ballot nextBallotAfter(Ballot ballot) {
    Ballot next = Ballots.of(Math.max(highestRound, ballot.round) + 1, proposerId);
    highestRound = next.round;
    return next;
  }

  /** Makes later ballots of this client higher than this one; null is ignored. */
  void observe(Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, ballot.round);
    }
  }

  /** Removes and returns the cached promise, as it is valid for one accept phase; null if none. */
  CachedPromise takeCachedPromise(String key) {
    return cachedPromises.remove(key);
  }

  /** Caches a promise; if its value is large, caches only that this client changed the key. */
  void cachePromise(String key, CachedPromise promise) {
    boolean tooLarge = promise.value != null && promise.value.length > MAX_CACHED_VALUE_BYTES;
    cachedPromises.put(key, tooLarge ? CachedPromise.none(promise.voterSet) : promise);
  }

  /** The voter slots by distance, the nearest first; slots of equal distance in their order. */
  int[] slotsNearestFirst(VoterSet voterSet) {
    List<Voter> voters = voterSet.voters;
    int[] order = new int[voters.size()];
    for (int slot = 0; slot < order.length; slot++) {
      int position = slot;
      int slotDistance = distance.applyAsInt(voters.get(slot).address);
      while (position > 0
          && distance.applyAsInt(voters.get(order[position - 1]).address) > slotDistance) {
        order[position] = order[position - 1];
        position--;
      }
      order[position] = slot;
    }
    return order;
  }

  /**
   * A random backoff of 5 ms up to a limit that doubles from 40 ms to 150 ms.
   *
   * @param retries the number of earlier backoffs of the operation
   */
  long backoffMs(int retries) {
    long maxMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(retries, 4));
    return random.nextLong(MIN_BACKOFF_MS, maxMs + 1);
  }
}
