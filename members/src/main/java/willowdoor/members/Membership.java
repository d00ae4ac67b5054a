package willowdoor.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet: its view of the others, and what it says to them. A plain state machine:
 * whoever drives it tells the time, in milliseconds of a clock that never goes back, and hands it
 * the datagrams that came, decoded and from the address of whom they name. It answers through
 * {@link Effects}, within the call. Not thread-safe.
 */
final class Membership implements Core {

  /** Members that are told of a leave at once; the others hear it from them. */
  private static final int FAREWELLS = 32;

  private final Timing timing;
  private final RandomGenerator random;
  private final Effects effects;
  private final Counts counts;
  private final Self self;
  private final int place;
  private final View view;
  private final Speaker speaker;
  private final Gossip gossip;
  private final Suspicions suspicions;
  private final Health health;
  private final Contact contact;
  private final Prober prober;
  private final Exchanger exchanger;
  private long now;

  /**
   * Begins joining with the first tick, which is due at once.
   *
   * @param place its own in the roster
   * @param wallMs where its generation begins; any will do
   */
  Membership(
      Roster roster,
      int place,
      Timing timing,
      long wallMs,
      RandomGenerator random,
      Effects effects,
      Counts counts,
      long now) {
    this.place = place;
    this.timing = timing;
    this.random = random;
    this.effects = effects;
    this.counts = counts;
    this.now = now;
    self = new Self(place, Generation.first(wallMs, random), timing.twin());
    view = new View(roster);
    Sizes sizes = new Sizes(roster);
    gossip = new Gossip(view, sizes, timing.tellings(roster.size()));
    speaker = new Speaker(roster, timing, self, view, gossip, sizes, effects);
    suspicions = new Suspicions(timing);
    health = new Health(timing.lifeguard() ? timing.healthMost() : 0);
    contact = new Contact(roster, timing.noAnswer(), timing.suspicionLeast(roster.size()), now);
    prober = new Prober(this, view, place, timing, health, contact, random);
    exchanger = new Exchanger(this, view, place, timing, sizes, random, now);
    say();
  }

  /** When {@link #tick} is due; {@link Long#MAX_VALUE} where it need not be called. */
  long nextWake() {
    if (quiet()) {
      return Long.MAX_VALUE;
    }
    return Math.min(
        suspicions.next(), Math.min(prober.next(hasJoined()), exchanger.next(hasJoined())));
  }

  void tick(long at) {
    enter(at);
    if (quiet()) {
      return;
    }
    for (int member = suspicions.ended(now); member >= 0; member = suspicions.ended(now)) {
      count(Count.FOUND_FAILED);
      apply(view.get(member).as(MemberState.FAILED));
      gossip.add(member);
    }
    prober.tick(hasJoined(), now);
    exchanger.tick(hasJoined(), now);
    look();
  }

  /** A datagram that the codec let through. */
  void receive(Message message, long at) {
    enter(at);
    Message.Header header = message.header();
    if (self.superseded()) {
      message.news().stream().filter(s -> s.member() == place).forEach(this::heardOfSelf);
      return;
    }
    Statement known = view.get(header.from());
    if (header.generation() < known.generation()) {
      count(Count.OLD_GENERATION);
      // It may be new, with a clock that stepped back: then it must hear what its name has been.
      boolean asks =
          message.body() instanceof Message.Exchange || message.body() instanceof Message.Ping;
      if (asks && exchanger.mayAnswer(now)) {
        send(header.from(), new Message.News(), List.of(known));
      }
      return;
    }
    boolean differs = contact.heard(header, view.digest(), now);
    boolean isPages = message.body() instanceof Message.Pages;
    List<Statement> better = isPages ? exchanger.better(message.news()) : List.of();
    boolean exchanged = isPages || message.body() instanceof Message.Better;
    message.news().forEach(s -> merge(s, exchanged));
    take(message, better);
    if (differs && hasJoined() && !quiet()) {
      boolean outOfStep = contact.outOfStepMs(now) > timing.outOfStep();
      exchanger.differs(header.from(), !known.state().present(), outOfStep, now);
    }
    look();
  }

  private void take(Message message, List<Statement> better) {
    int from = message.header().from();
    Message.Body body = message.body();
    if (body instanceof Message.Ping ping) {
      send(from, new Message.Ack(ping.seq(), place));
    } else if (body instanceof Message.Ack ack) {
      prober.acked(from, ack, now);
    } else if (body instanceof Message.PingRequest request) {
      prober.asked(from, request, now);
    } else if (body instanceof Message.Nack nack) {
      prober.nacked(nack);
    } else if (body instanceof Message.Exchange exchange) {
      exchanger.asked(from, exchange, contact.sameRoster(message.header()), now);
    } else if (body instanceof Message.Pages pages) {
      exchanger.answered(from, pages, better, hasJoined(), now);
    }
  }

  /** Says to the others that this process ends. It goes on answering. */
  void leave(long at) {
    enter(at);
    if (quiet()) {
      return;
    }
    self.state(MemberState.LEFT);
    say();
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < view.size(); i++) {
      if (i != place && view.get(i).state().present()) {
        others.add(i);
      }
    }
    for (int i = 0; i < FAREWELLS && !others.isEmpty(); i++) {
      int to = others.remove(random.nextInt(others.size()));
      send(to, new Message.News(), List.of(self.statement()));
    }
  }

  /** Tells these of itself from now on. */
  void tags(Tags tags, long at) {
    enter(at);
    self.tags(tags);
    say();
  }

  /** Where the time was let pass, this process was held up: that tells nothing of the others. */
  private void enter(long at) {
    long due = nextWake();
    now = Math.max(now, at);
    long late = due == Long.MAX_VALUE ? 0 : now - due;
    if (late > timing.heldUp() && timing.lifeguard()) {
      count(Count.HELD_UP);
      health.change(1 + late / timing.probe());
      suspicions.putOff(late);
      contact.putOff(late);
      exchanger.putOff(late);
      prober.heldUp(late, now);
    }
  }

  private void merge(Statement told, boolean exchanged) {
    if (told.member() == place) {
      heardOfSelf(told);
      return;
    }
    Statement mine = view.get(told.member());
    if (exchanged
        && told.state() == MemberState.FAILED
        && told.sameLife(mine)
        && mine.state().present()) {
      // Heard from the other side of a cut, for instance: it may answer that before anybody takes
      // it over.
      if (speaker.owe(told) && exchanger.mayTell(now)) {
        send(told.member(), new Message.News(), List.of(told));
      }
    } else if (told.supersedes(mine)) {
      apply(told);
      if (!exchanged || hasJoined()) {
        gossip.add(told.member());
      }
    } else if (told.sameLife(mine) && told.state() == MemberState.SUSPECT) {
      confirm(mine, told.accusers());
    }
  }

  private void confirm(Statement mine, List<Integer> accusers) {
    boolean open =
        mine.state() == MemberState.SUSPECT && mine.accusers().size() <= timing.confirmations();
    Statement more = open ? mine.suspectedBy(accusers) : mine;
    if (more != mine) {
      count(Count.CONFIRMED);
      view.put(more);
      suspicions.confirmed(more);
      gossip.add(more.member());
    }
  }

  private void apply(Statement is) {
    Statement was = view.put(is);
    speaker.settled(is.member());
    suspicions.end(is.member());
    if (is.state() == MemberState.SUSPECT) {
      count(Count.SUSPECTED);
      suspicions.begin(is, view.present(), now);
    }
    effects.changed(was, is);
  }

  private void heardOfSelf(Statement said) {
    boolean silent = self.superseded();
    switch (self.hear(said, now)) {
      case NOTHING -> {
        return;
      }
      case REFUTED -> {
        count(Count.REFUTED);
        health.change(1);
      }
      case RAISED, RESUMED -> count(Count.RAISED_GENERATION);
      case TWIN -> {
        count(Count.RAISED_GENERATION);
        count(Count.TWIN);
        effects.twin(false);
      }
      case SUPERSEDED -> {
        count(Count.TWIN);
        count(Count.SUPERSEDED);
        effects.twin(true);
        return;
      }
    }
    if (silent) {
      prober.restart(now);
    }
    say();
  }

  /** What this process says of itself has changed. */
  private void say() {
    apply(self.statement());
    gossip.add(place);
  }

  @Override
  public void joined() {
    self.state(MemberState.ALIVE);
    contact.answered(now);
    prober.restart(now);
    say();
  }

  @Override
  public boolean hasNews() {
    return gossip.size() > 0;
  }

  @Override
  public void accuse(int member) {
    count(Count.ACCUSED);
    merge(view.get(member).suspectedBy(List.of(place)), false);
  }

  @Override
  public void send(int to, Message.Body body) {
    speaker.say(to, body);
  }

  @Override
  public void send(int to, Message.Body body, List<Statement> statements) {
    speaker.say(to, body, statements);
  }

  @Override
  public void count(Count count) {
    counts.add(count);
  }

  private void look() {
    if (contact.look(view, hasJoined(), now)) {
      effects.cutOff(contact.cutOff());
    }
  }

  private boolean quiet() {
    return self.superseded() || self.state() == MemberState.LEFT;
  }

  boolean hasJoined() {
    return self.state() != MemberState.JOINING;
  }

  Statement statement(int member) {
    return view.get(member);
  }

  int place() {
    return place;
  }

  long digest() {
    return view.digest();
  }

  int reached() {
    return view.reached();
  }

  int present() {
    return view.present();
  }

  int healthScore() {
    return health.score();
  }

  boolean superseded() {
    return self.superseded();
  }

  boolean cutOff() {
    return contact.cutOff() || self.superseded();
  }

  /** Since when it is cut off or not. */
  long cutOffSince() {
    return contact.since();
  }

  /** Whose view was last heard to differ, by place, and since when. */
  Map<Integer, Long> differing() {
    return contact.differing(view.digest());
  }

  Map<Integer, Contact.OtherRoster> otherRosters() {
    return contact.otherRosters();
  }
}
