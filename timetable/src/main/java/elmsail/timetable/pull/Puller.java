package elmsail.timetable.pull;

import elmsail.inner.Caller;
import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seating;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Settings;
import elmsail.station.Timers;
import elmsail.timetable.CarrierCall;
import elmsail.timetable.Known;
import elmsail.timetable.ServerEntry;
import elmsail.timetable.Timetable;
import elmsail.timetable.TimetableReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Holds a pull open at up to three notaries and keeps the newest that any of them told. Everything on the
 * loop; {@code whenChanged} runs inside the call that changed something.
 */
public final class Puller implements Known {
  private static final long WAIT_MS = 1_000;
  private static final long YOUNG_MS = 1_500;
  /** An epoch above all: nothing is newer. */
  private static final long NO_LIST = Long.MAX_VALUE;
  private static final long REVIEW_MS = 1_000;

  /** Told that this process shall claim a seat of the shelf with an incarnation. */
  public interface Claim {
    void claim(int seat, int incarnation);
  }

  private final Timers timers;
  private final Settings settings;
  private final String role;
  private final long life;
  private final Supplier<VaultPart> vault;
  private final Fallback fallback;
  private final Lines lines;
  private final KnownServers servers = new KnownServers();
  private final List<Runnable> listeners = new ArrayList<>();
  private Claim claim = (seat, incarnation) -> { };
  private Timetable timetable;
  private byte[] timetableBytes;
  private Roster roster = new Roster();
  private Timers.Timer review;
  private long unreadable;

  /**
   * Asks nothing before {@code start}.
   *
   * @param role "clerk", "vault" or "notary"
   * @param vault what a vault tells of itself, {@code VaultPart.NONE} in others
   * @param carrier for a clerk that hears no list in time; null: never asked
   */
  public Puller(Caller caller, Timers timers, Settings settings, String role, long life,
      Supplier<VaultPart> vault, CarrierCall carrier) {
    this.timers = timers;
    this.settings = settings;
    this.role = role;
    this.life = life;
    this.vault = vault;
    lines = new Lines(caller, timers, settings, this::ask, (line, told) -> heard(told));
    fallback = carrier == null || settings.carrier() == null || !role.equals("clerk") ? null
        : new Fallback(timers, carrier, settings.carrier().perSecond(), new Random(life), this::listAgeMs,
            () -> roster.clerks.size(), this::fetched);
  }

  /** Begins to ask, once. */
  public void start() {
    lines.choose(roster.head);
    review = timers.after(REVIEW_MS, this::review);
    if (fallback != null) {
      fallback.start();
    }
  }

  /** Asks nothing more; what is known stays. */
  public void close() {
    if (review != null) {
      review.cancel();
    }
    if (fallback != null) {
      fallback.close();
    }
    lines.close();
  }

  /** Whoever shall claim a seat; called each time that a notary says so. */
  public void whenClaim(Claim newClaim) {
    claim = newClaim;
  }

  @Override
  public void whenChanged(Runnable then) {
    listeners.add(then);
  }

  @Override
  public Timetable timetable() {
    return timetable;
  }

  /** As the operator sent it, null before the first. */
  public byte[] timetableBytes() {
    return timetableBytes;
  }

  @Override
  public List<ServerEntry> servers() {
    return servers.servers();
  }

  @Override
  public long listAgeMs() {
    return servers.ageMs(timers.now());
  }

  /** Epoch of the pulled list; 0 before the first. */
  public long listEpoch() {
    return servers.epoch();
  }

  /** Version of the pulled list within its epoch; 0 before the first. */
  public long listVersion() {
    return servers.version();
  }

  /** The pulled list as it came, null before the first. */
  public byte[] listBytes() {
    return servers.bytes();
  }

  /** When the pulled list was taken from the carrier, steady ms; only where there are bytes. */
  public long listTakenAt() {
    return servers.pulledAt();
  }

  @Override
  public Roster roster() {
    return roster;
  }

  /** How long ago the notary at this inner address answered, in ms; Long.MAX_VALUE: never in this life. */
  public long heardAgoMs(String address) {
    return lines.heardAgoMs(address);
  }

  /** Inner addresses of the notaries that are asked now. */
  public List<String> asked() {
    return lines.addresses();
  }

  /** Asks that failed, and answers that could not be used. */
  public long failures() {
    return lines.failures();
  }

  /** Configurations and lists that came and could not be read. */
  public long unreadable() {
    return unreadable;
  }

  /** A configuration that is decided, known by another way than a pull; passed over unless newer. */
  public void offerTimetable(byte[] bytes) {
    if (takeTimetable(bytes, TimetableReader.read(bytes))) {
      tell();
    }
  }

  /** The list of this process itself, if it holds the duty; as {@code Sources.setServers}. */
  public void offerServers(long epoch, long version, byte[] bytes, long takenAt) {
    if (servers.told(epoch, version, bytes, takenAt)) {
      tell();
    }
  }

  private void review() {
    lines.choose(roster.head);
    if (take(roster.head, roster.shelf)) {
      tell();
    }
    review = timers.after(REVIEW_MS, this::review);
  }

  private PullAsk ask(Line line) {
    PullAsk ask = new PullAsk();
    VaultPart part = vault.get();
    ask.station = settings.station();
    ask.address = settings.innerAddress();
    ask.zone = settings.zone();
    ask.role = role;
    ask.life = life;
    ask.seated = part.seated();
    ask.emptied = part.emptied();
    ask.shelf = part.shelf();
    ask.edition = edition();
    ask.listEpoch = wantsList(line) ? servers.epoch() : NO_LIST;
    ask.listVersion = servers.version();
    ask.rosterVersion = line.rosterVersion;
    ask.waitMs = WAIT_MS;
    return ask;
  }

  /**
   * Bytes between zones are priced, and three notaries have the same list: a clerk takes it from the nearest
   * while that keeps it young, and from the others its age only. Notaries take it from all, so that no two
   * wait for each other. Vaults send no requests to servers and take none.
   */
  private boolean wantsList(Line line) {
    if (!role.equals("clerk")) {
      return !role.equals("vault");
    }
    Line nearest = lines.nearest();
    return nearest == null || nearest == line || listAgeMs() > YOUNG_MS;
  }

  /** False if a part could not be read; the other parts are taken all the same. */
  private boolean heard(PullTold told) {
    long now = timers.now();
    boolean whole = true;
    boolean changed = false;
    if (told.timetable != null && told.edition > edition()) {
      try {
        changed = takeTimetable(told.timetable, readAs(told.edition, told.timetable));
      } catch (ElmsailException e) {
        whole = false;
      }
    }
    if (told.listAgeMs >= 0) {
      try {
        changed |= servers.told(told.listEpoch, told.listVersion, told.servers, now - told.listAgeMs);
      } catch (ElmsailException e) {
        whole = false;
      }
    }
    unreadable += whole ? 0 : 1;
    if (told.roster != null) {
      changed |= merge(told.roster);
    }
    if (changed) {
      tell();
    }
    if (told.roster != null && told.roster.claimSeat >= 0) {
      claim.claim(told.roster.claimSeat, told.roster.claimIncarnation);
    }
    return whole;
  }

  private long edition() {
    return timetable == null ? 0 : timetable.edition();
  }

  private static Timetable readAs(long edition, byte[] bytes) {
    Timetable read = TimetableReader.read(bytes);
    if (read.edition() != edition) {
      throw new ElmsailException(Code.GARBLED, "told edition " + edition + ", came " + read.edition());
    }
    return read;
  }

  private boolean takeTimetable(byte[] bytes, Timetable read) {
    if (read.edition() <= edition()) {
      return false;
    }
    timetable = read;
    timetableBytes = bytes;
    return true;
  }

  private boolean merge(Roster told) {
    return take(Rosters.merge(roster.head, told.head), Rosters.merge(roster.shelf, told.shelf));
  }

  /** Whether anything of the roster is another now. */
  private boolean take(Seating head, Seating shelf) {
    Roster merged = new Roster();
    merged.head = head;
    merged.shelf = shelf;
    List<List<String>> words = lines.clerks();
    merged.clerks = words.isEmpty() ? roster.clerks : Rosters.union(words);
    if (Rosters.same(roster, merged)) {
      return false;
    }
    if (!Rosters.same(roster.head, head)) {
      timers.soon(() -> lines.choose(roster.head));
    }
    roster = merged;
    return true;
  }

  private void fetched(List<ServerEntry> list, long takenAt) {
    if (servers.fetched(list, takenAt)) {
      tell();
    }
  }

  private void tell() {
    for (Runnable listener : List.copyOf(listeners)) {
      listener.run();
    }
  }
}
