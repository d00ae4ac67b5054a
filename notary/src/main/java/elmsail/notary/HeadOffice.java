package elmsail.notary;

import elmsail.disk.Records;
import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.Note;
import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.register.Register;
import elmsail.register.RegisterClient;
import elmsail.register.SeatingRules;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Settings;
import elmsail.station.Timers;
import elmsail.station.http.HttpAsker;
import elmsail.station.http.HttpHandler;
import elmsail.timetable.CarrierCall;
import elmsail.timetable.TimetableReader;
import elmsail.timetable.pull.Puller;
import elmsail.timetable.pull.Sources;
import elmsail.timetable.pull.VaultPart;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A notary that serves the operators, without the sockets: all on the loop. */
final class HeadOffice {
  private static final Logger LOG = LoggerFactory.getLogger(HeadOffice.class);

  private static final String SHELF_KEY = "shelf";
  private static final long TIMETABLE_EVERY_MS = 300;
  private static final long OTHERS_EVERY_MS = 1_000;
  private static final long TICK_MS = 200;
  private static final long CLERK_MS = 4_000;
  /** A vault is heard at least so often; the others hear of changes at once anyway. */
  private static final long VAULT_WAIT_MS = 400;
  private static final long NOTE_MS = 300;
  private static final long FOUND_MS = 900;

  private final Settings settings;
  private final Timers timers;
  private final Caller caller;
  private final Answering answering;
  private final HeadSeats seats;
  private final Register register;
  private final Decided timetable;
  private final Decided retiring;
  private final Decided founded;
  private final Heard heard = new Heard();
  private final Sources sources;
  private final Puller puller;
  private final Duty duty;
  private final ListDuty list;
  private final Registrar registrar;
  private final LeaseVoter voter;
  private final Operators operators;
  private Seating shelf = new Seating();
  private Seating headTold = new Seating();
  private List<String> clerks = List.of();
  private Registrar.Order order;
  private boolean founding;
  private boolean closed;

  /**
   * Makes one; it answers and asks nothing before {@link #start()}.
   *
   * @param records null where this process has no disk
   * @param carrier for the list of servers
   * @param who drawn at random at each start
   */
  HeadOffice(Settings settings, Timers timers, Caller caller, Answering answering, Records records,
      HttpAsker carrier, long who) {
    this.settings = settings;
    this.timers = timers;
    this.caller = caller;
    this.answering = answering;
    String own = settings.innerAddress();
    seats = new HeadSeats(settings, timers, caller, answering, records);
    register = new RegisterClient(HeadSeats.SET, caller, timers, seats, who, own, address -> 1);
    timetable = new Decided(register, ReplaceCall.KEY, timers, TIMETABLE_EVERY_MS);
    retiring = new Decided(register, Stations.KEY, timers, OTHERS_EVERY_MS);
    founded = new Decided(register, SHELF_KEY, timers, OTHERS_EVERY_MS);
    sources = new Sources(timers);
    puller = new Puller(caller, timers, settings, "notary", records == null ? who : records.life(),
        () -> VaultPart.NONE, null);
    duty = new Duty(caller, timers, register, seats::of, own, who);
    list = settings.carrier() == null ? null
        : new ListDuty(new CarrierCall(carrier, settings.carrier().address(), timers),
            settings.carrier().perSecond(), timers, sources, duty::term);
    int vaults = 2 * settings.bearMachines() + 1;
    registrar = new Registrar(vaults, timers.now());
    boolean firstProcess = records != null && settings.firstStart() && records.fresh();
    voter = new LeaseVoter(timers.now(), firstProcess);
    RetireCalls retire = new RetireCalls(register, timers, heard, () -> shelf, retiring, vaults);
    operators = new Operators(
        new ReplaceCall(register, TimetableReader::read, timers, timetable, edition -> tell("decided")),
        new ReadCall(register, timetable),
        new SeatedOnly(retire, settings, seats, puller));
  }

  void start() {
    timetable.whenNewer(this::taken);
    retiring.whenNewer(value -> tell("retire"));
    founded.whenNewer(value -> learnShelf(SeatingValues.of(value)));
    sources.setRoster(this::roster);
    answering.on(PullAsk.class, this::pulled);
    answering.on(Note.class, this::noted);
    Duty.vote(answering, timers, voter, seats::seated);
    puller.whenChanged(this::relay);
    seats.start(answering);
    timetable.refresh();
    retiring.refresh();
    founded.refresh();
    duty.start();
    if (list != null) {
      list.start();
    }
    puller.start();
    tick();
  }

  HttpHandler operators() {
    return operators;
  }

  /** The newest value of the key "timetable" that was seen decided here; null before the first. */
  byte[] decidedTimetable() {
    return timetable.value();
  }

  private CompletableFuture<PullTold> pulled(PullAsk ask) {
    heard.note(ask, timers.now());
    if ("vault".equals(ask.role) && ask.shelf != null) {
      learnShelf(ask.shelf);
    }
    if (closed || !timetable.read()) {
      return CompletableFuture.failedFuture(
          new ElmsailException(Code.NOT_SEATED, "not known yet what is decided"));
    }
    if ("vault".equals(ask.role)) {
      ask.waitMs = Math.min(ask.waitMs, VAULT_WAIT_MS);
    }
    return sources.ask(ask);
  }

  private CompletableFuture<Note> noted(Note note) {
    switch (note.kind) {
      case "decided" -> timetable.refresh();
      case "retire" -> retiring.refresh();
      default -> {
        return CompletableFuture.failedFuture(new ElmsailException(Code.GARBLED, "a note of another kind"));
      }
    }
    Note told = new Note();
    told.kind = note.kind;
    return CompletableFuture.completedFuture(told);
  }

  /** Has the other seats read the register at once; who misses it reads it soon anyway. */
  private void tell(String kind) {
    Note note = new Note();
    note.kind = kind;
    for (Seat seat : seats.of().seats) {
      if (!seat.address.equals(settings.innerAddress())) {
        caller.call(seat.address, note, Note.class, NOTE_MS);
      }
    }
  }

  private void taken(byte[] value) {
    Editions now = Editions.of(value);
    sources.setTimetable(now.edition(), now.bytes());
    try {
      puller.offerTimetable(now.bytes());
    } catch (ElmsailException e) {
      LOG.error("edition {} was decided and cannot be read here: {}", now.edition(), e.getMessage());
    }
  }

  /** What other notaries know that is newer goes on to whoever asks here. */
  private void relay() {
    if (puller.timetableBytes() != null) {
      sources.setTimetable(puller.timetable().edition(), puller.timetableBytes());
    }
    if (puller.listBytes() != null) {
      sources.setServers(puller.listEpoch(), puller.listVersion(), puller.listBytes(), puller.listTakenAt());
    }
    learnShelf(puller.roster().shelf);
    if (!puller.roster().head.seats.isEmpty()) {
      seats.told(puller.roster().head);
    }
  }

  private void learnShelf(Seating told) {
    Seating merged = SeatingRules.merge(shelf, told);
    if (merged != shelf) {
      shelf = merged;
      sources.rosterChanged();
    }
  }

  private Roster roster(PullAsk ask) {
    Roster roster = new Roster();
    roster.head = seats.of();
    roster.shelf = shelf;
    roster.clerks = clerks;
    if (order != null && "vault".equals(ask.role) && order.address().equals(ask.address)) {
      roster.claimSeat = order.seat();
      roster.claimIncarnation = order.incarnation();
    }
    return roster;
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.after(TICK_MS, this::tick);
    long now = timers.now();
    boolean directs = duty.term() > 0 && timetable.readableSince() != Long.MAX_VALUE;
    if (directs && shelf.seats.isEmpty() && founded.read() && founded.value() == null && seats.born()) {
      found(now);
    }
    Registrar.Order before = order;
    order = registrar.order(heard, shelf, Stations.of(retiring.value()), directs, now);
    List<String> clerksNow = heard.clerks(now, CLERK_MS);
    boolean headMoved = !SeatingRules.same(headTold, seats.of());
    if (order != null && !order.equals(before)) {
      LOG.info("{} shall take seat {} of the shelf, incarnation {}", order.address(), order.seat(),
          order.incarnation());
    }
    if (order != before && (order == null || !order.equals(before)) || headMoved
        || !clerksNow.equals(clerks)) {
      headTold = seats.of();
      clerks = clerksNow;
      sources.rosterChanged();
    }
    relay();
  }

  private void found(long now) {
    Seating first = founding ? null : registrar.founding(heard, now);
    if (first == null) {
      return;
    }
    founding = true;
    register.change(SHELF_KEY,
        found -> new Register.Wanted(found.value() != null ? null : SeatingValues.bytes(first), List.of()),
        List.of(), null, FOUND_MS).whenComplete((held, failed) -> {
          founding = false;
          if (failed == null) {
            LOG.info("the shelf is founded");
            founded.take(held.now());
          }
        });
  }

  /** Asks and directs nothing any more; what comes in is still answered. */
  void close() {
    closed = true;
    duty.close();
    if (list != null) {
      list.close();
    }
    seats.close();
    puller.close();
    timetable.close();
    retiring.close();
    founded.close();
  }
}
