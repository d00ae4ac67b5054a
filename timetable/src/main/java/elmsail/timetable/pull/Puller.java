package elmsail.timetable.pull;

import elmsail.inner.Caller;
import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Holds a pull open at up to three notaries and keeps the newest that any of them told. Everything on the
 * loop; {@code whenChanged} runs inside the call that changed something.
 */
public final class Puller implements Known {
  private static final int LINES = 3;
  private static final long WAIT_MS = 1_000;
  private static final long CALL_MS = 1_800;
  private static final long REVIEW_MS = 1_000;
  /** A notary silent for so long is passed over for another, and its word on the clerks forgotten. */
  private static final long SILENT_MS = 5_000;

  /** Told that this process shall claim a seat of the shelf with an incarnation. */
  public interface Claim {
    void claim(int seat, int incarnation);
  }

  private final Caller caller;
  private final Timers timers;
  private final Settings settings;
  private final String role;
  private final long life;
  private final Supplier<VaultPart> vault;
  private final Fallback fallback;
  private final List<String> seeds = new ArrayList<>();
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private final Map<String, Long> heardAt = new LinkedHashMap<>();
  private final KnownServers servers = new KnownServers();
  private final List<Runnable> listeners = new ArrayList<>();
  private Claim claim = (seat, incarnation) -> { };
  private Timetable timetable;
  private byte[] timetableBytes;
  private Roster roster = new Roster();
  private Timers.Timer review;
  private boolean closed;
  private long failures;
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
    this.caller = caller;
    this.timers = timers;
    this.settings = settings;
    this.role = role;
    this.life = life;
    this.vault = vault;
    for (String seed : settings.seeds()) {
      seeds.add(settings.headInner(seed));
    }
    fallback = carrier == null || settings.carrier() == null || !role.equals("clerk") ? null
        : new Fallback(timers, carrier, settings.carrier().perSecond(), new Random(life), this::listAgeMs,
            () -> roster.clerks.size(), this::fetched);
  }

  /** Begins to ask, once. */
  public void start() {
    choose();
    review = timers.after(REVIEW_MS, this::review);
    if (fallback != null) {
      fallback.start();
    }
  }

  /** Asks nothing more; what is known stays. */
  public void close() {
    closed = true;
    if (review != null) {
      review.cancel();
    }
    if (fallback != null) {
      fallback.close();
    }
    for (Line line : lines.values()) {
      line.close();
    }
    lines.clear();
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
    Long at = heardAt.get(address);
    return at == null ? Long.MAX_VALUE : timers.now() - at;
  }

  /** Inner addresses of the notaries that are asked now. */
  public List<String> asked() {
    return List.copyOf(lines.keySet());
  }

  /** Asks that failed, and answers that could not be used. */
  public long failures() {
    return failures;
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
    choose();
    if (mergeClerks()) {
      tell();
    }
    review = timers.after(REVIEW_MS, this::review);
  }

  /** Those of the head's seats, or the seeds before they are known or while nobody answers. */
  private void choose() {
    long now = timers.now();
    List<String> candidates = new ArrayList<>();
    for (Seat seat : roster.head.seats) {
      candidates.add(seat.address);
    }
    boolean allSilent = true;
    for (Line line : lines.values()) {
      allSilent &= now - line.lastSign() > SILENT_MS;
    }
    if (candidates.isEmpty() || allSilent) {
      candidates.addAll(seeds);
    }
    candidates.removeIf(address -> address.isEmpty() || address.equals(settings.innerAddress()));
    List<String> chosen = Rendezvous.choose(settings.station(), candidates, LINES);
    if (candidates.size() > LINES) {
      chosen = Rendezvous.choose(settings.station(), candidates, candidates.size());
      chosen = answeringFirst(chosen, now).subList(0, Math.min(LINES, chosen.size()));
    }
    Iterator<Line> open = lines.values().iterator();
    while (open.hasNext()) {
      Line line = open.next();
      if (!chosen.contains(line.address)) {
        line.close();
        open.remove();
      }
    }
    for (String address : chosen) {
      if (!lines.containsKey(address)) {
        Line line = new Line(address, now);
        lines.put(address, line);
        ask(line);
      }
    }
  }

  /** The same order, but for those that are asked and have been silent, which go to the end. */
  private List<String> answeringFirst(List<String> ranked, long now) {
    List<String> ordered = new ArrayList<>(ranked.size());
    List<String> silent = new ArrayList<>();
    for (String address : ranked) {
      Line line = lines.get(address);
      (line != null && now - line.lastSign() > SILENT_MS ? silent : ordered).add(address);
    }
    ordered.addAll(silent);
    return ordered;
  }

  private void ask(Line line) {
    if (closed || !line.open) {
      return;
    }
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
    ask.edition = timetable == null ? 0 : timetable.edition();
    ask.listEpoch = servers.epoch();
    ask.listVersion = servers.version();
    ask.rosterVersion = line.rosterVersion;
    ask.waitMs = WAIT_MS;
    line.asked(timers.now());
    caller.call(line.address, ask, PullTold.class, CALL_MS).whenComplete((told, thrown) -> {
      if (closed || !line.open) {
        return;
      }
      boolean used = thrown == null && heard(line, told);
      failures += used ? 0 : 1;
      line.next = timers.after(used ? line.afterAnswer(timers.now()) : line.afterFailure(), () -> ask(line));
    });
  }

  /** False if a part could not be read; the other parts are taken all the same. */
  private boolean heard(Line line, PullTold told) {
    long now = timers.now();
    line.heard(told, now);
    heardAt.put(line.address, now);
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
      changed |= mergeRoster(told.roster);
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

  private boolean mergeRoster(Roster told) {
    Roster merged = new Roster();
    merged.head = Rosters.merge(roster.head, told.head);
    merged.shelf = Rosters.merge(roster.shelf, told.shelf);
    merged.clerks = clerks();
    if (Rosters.same(roster, merged)) {
      return false;
    }
    boolean moved = !Rosters.same(roster.head, merged.head);
    roster = merged;
    if (moved) {
      timers.soon(this::chooseIfOpen);
    }
    return true;
  }

  private void chooseIfOpen() {
    if (!closed) {
      choose();
    }
  }

  private boolean mergeClerks() {
    Roster merged = new Roster();
    merged.head = roster.head;
    merged.shelf = roster.shelf;
    merged.clerks = clerks();
    if (Rosters.same(roster, merged)) {
      return false;
    }
    roster = merged;
    return true;
  }

  /** The union of the notaries' last words, without those silent while others speak. */
  private List<String> clerks() {
    List<List<String>> fresh = new ArrayList<>();
    List<List<String>> all = new ArrayList<>();
    for (Line line : lines.values()) {
      all.add(line.clerks);
      if (timers.now() - line.lastSign() <= SILENT_MS) {
        fresh.add(line.clerks);
      }
    }
    return Rosters.union(fresh.isEmpty() ? all : fresh);
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
