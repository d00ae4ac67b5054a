package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One epoch of a server: its connections, and what is known of its load and health. */
public final class Server {
  /** Where nothing was heard for so long while requests are open there, the server may be dark. */
  static final long QUIET_MS = 450;

  /** And after so long what may be repeated goes elsewhere. */
  static final long DARK_MS = 800;

  private final ServerEntry entry;
  private final PrefixMemory memory;
  private final OutlierDetector outliers;
  private final ErrorBackoff errors;
  final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();

  /** Tries that run or wait for a connection. */
  private final Set<Attempt> tries = new LinkedHashSet<>();

  /** Open, opening and idle ones. */
  int connections;

  /** The request that tries it again after errors, or null. */
  private Attempt probe;

  private int items;
  private long lastItemAt = Long.MIN_VALUE / 2;
  private boolean misplaced;
  private int readingTokens;
  private boolean gone;
  private final FailureBackoff failures = new FailureBackoff();
  private long heardAt = Long.MIN_VALUE;
  private final ToldLoad told = new ToldLoad();
  private final PlaceTime placeTime;
  private final boolean near;
  private final PeerLoads peers;
  private final Runnable loadChanged;

  /** A server of which no other gateway tells anything. */
  Server(ServerEntry entry, long kvTokens, OutlierDetector outliers) {
    this(entry, true, kvTokens, outliers, new PlaceTime(), PeerLoads.NONE, () -> {});
  }

  /**
   * Makes one.
   *
   * @param near whether it is in this gateway's zone
   * @param placeTime of its service
   * @param peers what all gateways have open
   * @param loadChanged called when what is open here has changed
   */
  Server(
      ServerEntry entry,
      boolean near,
      long kvTokens,
      OutlierDetector outliers,
      PlaceTime placeTime,
      PeerLoads peers,
      Runnable loadChanged) {
    this.entry = entry;
    this.outliers = outliers;
    this.near = near;
    this.placeTime = placeTime;
    this.peers = peers;
    this.loadChanged = loadChanged;
    errors = outliers.add();
    memory = new PrefixMemory(kvTokens);
  }

  /** Its entry in the list in force. */
  public ServerEntry entry() {
    return entry;
  }

  /** Its id in the list. */
  public String id() {
    return entry.id();
  }

  PrefixMemory memory() {
    return memory;
  }

  /** Closing, or not listed any more. */
  public boolean gone() {
    return gone;
  }

  /** Another has its address: nothing more is sent to it, whatever the list says. */
  void misplace() {
    misplaced = true;
  }

  boolean misplaced() {
    return misplaced;
  }

  void leave() {
    gone = true;
    outliers.remove(errors);
  }

  /** Tries that may be cancelled while one looks at them. */
  List<Attempt> tries() {
    return new ArrayList<>(tries);
  }

  /** How many attempts are open at it, items of batch jobs included. */
  public int open() {
    return tries.size();
  }

  /** How many of the open attempts are items of batch jobs. */
  public int items() {
    return items;
  }

  int readingTokens() {
    return readingTokens;
  }

  /** Other gateways are told of what is open here, unless the server itself tells its load. */
  private void tellLoad() {
    if (!tellsLoad()) {
      loadChanged.run();
    }
  }

  /** What this gateway has open there. */
  ServerLoad ownLoad() {
    return new ServerLoad(open() - items, items, readingTokens);
  }

  /** Whether it tells its load in its answers; what other gateways tell is then not needed. */
  boolean tellsLoad() {
    return told.told();
  }

  /** What all gateways have open there, as far as they are heard. */
  ServerLoad sharedLoad() {
    return ownLoad().atLeast(peers.at(id()));
  }

  /** Prompt tokens of all gateways' requests there that have no answer yet. */
  int unreadTokens() {
    return tellsLoad() ? readingTokens : sharedLoad().unreadTokens();
  }

  /** Whether this attempt is the probe of a server that erred. */
  boolean begun(Attempt one) {
    tries.add(one);
    if (one.out().item()) {
      items++;
      lastItemAt = one.since();
    }
    readingTokens += anew(one);
    tellLoad();
    boolean probes = errors.probe(one.since());
    probe = probes ? one : probe;
    return probes;
  }

  void answering(Attempt one) {
    readingTokens -= anew(one);
    tellLoad();
    probeEnded(one);
  }

  private void probeEnded(Attempt one) {
    if (one == probe) {
      probe = null;
      errors.probeEnded();
    }
  }

  void ended(Attempt one) {
    probeEnded(one);
    if (tries.remove(one)) {
      items -= one.out().item() ? 1 : 0;
      readingTokens -= one.answered() ? 0 : anew(one);
      tellLoad();
    }
  }

  private static int anew(Attempt one) {
    Prompt prompt = one.out().prompt();
    return prompt.total() - prompt.sharedTokens();
  }

  /** An answer of it began: it lives. */
  void heard(long now) {
    heardAt = now;
    failures.heard();
  }

  /** An answer of it is whole, so long after its first byte. */
  void held(long ms) {
    placeTime.observe(ms);
  }

  /** It answered with a success. */
  void succeeded(long now) {
    errors.succeeded(now);
  }

  /** Whether its last answers are good and one of them is new. */
  boolean servedLately(long now) {
    return errors.servedLately(now);
  }

  /** It answered with an error of its own: whether it is ejected by this. */
  boolean errored(long now) {
    return outliers.errored(errors, now);
  }

  /**
   * Whether to take it only where there is no other, since it answered with errors.
   *
   * @param early whether an error of the request would be made up for
   */
  boolean ejected(boolean early, long now) {
    return errors.avoided(early, now);
  }

  /** Whether its backoff after errors is over, and nothing has tried it again yet. */
  boolean awaitsProbe(long now) {
    return errors.mayProbe(true, now);
  }

  /** Only bytes of an answer that began earlier. */
  void stirred(long now) {
    heardAt = now;
  }

  /** No connection could be had, or a request got no answer in its time. */
  void failed(long now) {
    failures.failed(now);
    for (ServerConnection c : new ArrayList<>(idle)) {
      c.close(); // they may be dead as well: the next request finds out before it is sent
    }
  }

  /** A connection broke under a request. */
  void broke(long now) {
    if (failures.broke()) {
      failed(now);
    }
  }

  /** Takes {@code RUNNING,WAITING,SLOTS}; what cannot be read is passed over. */
  void load(String response, long now) {
    told.take(response, open(), now);
  }

  /** Whether to take it only where there is no other. */
  boolean avoided(long now) {
    return failures.avoided(now) || quietMs(now) > QUIET_MS;
  }

  /** Whether it failed so lately that an idle connection is not to be trusted. */
  boolean doubtful(long now) {
    return failures.doubtful() || quietMs(now) > QUIET_MS;
  }

  /** Whether it has said nothing to anything for so long that it will hardly go on. */
  public boolean dark(long now) {
    return quietMs(now) > DARK_MS;
  }

  /** Whether it said just now that nothing waits there and that it has many places free. */
  public boolean toldIdle(long now) {
    return told.idle(entry.maxConcurrency(), now);
  }

  /** For how long it has said nothing at all though requests are open there. */
  private long quietMs(long now) {
    for (Attempt t : tries) {
      if (t.sent()) {
        return now - Math.max(t.since(), heardAt); // the oldest one
      }
    }
    return 0;
  }

  /** Estimate of the requests that run there, of all gateways. */
  double running(long now) {
    if (!tellsLoad()) {
      int open = sharedLoad().open();
      return entry.maxConcurrency() > 0 ? Math.min(entry.maxConcurrency(), open) : open;
    }
    return told.running(open(), now);
  }

  /** Estimate of the requests that wait there. */
  double waiting(long now) {
    if (!tellsLoad()) {
      return waitingBeforeOneMore(sharedLoad().open());
    }
    return told.waiting(now);
  }

  /** Of so many open there, those that one more would wait for. */
  private int waitingBeforeOneMore(int open) {
    boolean full = entry.maxConcurrency() > 0 && open >= entry.maxConcurrency();
    return full ? open - entry.maxConcurrency() + 1 : 0;
  }

  /** Until one that waits there gets a place, for each one before it, in ms. */
  double placeMs() {
    return tellsLoad() ? PlaceTime.FIRST_MS : placeTime.perPlaceMs(entry.maxConcurrency());
  }

  /** How many items of batch jobs may be started here now; see {@link ItemAdmission}. */
  public int itemRoom(long now) {
    if (gone || misplaced || avoided(now) || ejected(true, now)) {
      return 0;
    }
    int room =
        ItemAdmission.room(
            new ItemAdmission.Standing(
                entry.maxConcurrency(),
                running(now),
                waiting(now),
                items,
                now - lastItemAt,
                sight(),
                unreadTokens()));
    return errors.ejected() ? Math.min(1, room) : room; // one probe at a time
  }

  private ItemAdmission.Sight sight() {
    if (tellsLoad()) {
      return ItemAdmission.Sight.TOLD;
    }
    return near ? ItemAdmission.Sight.SHARED : ItemAdmission.Sight.SHARED_FAR;
  }
}
