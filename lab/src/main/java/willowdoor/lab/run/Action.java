package willowdoor.lab.run;

import java.util.List;
import java.util.Locale;

/** What a step may do, to which parties, and with which arguments. */
enum Action {

  /** Signals to front doors' processes, and a new process in place of one that ended. */
  KILL(Kind.DOORS),
  TERM(Kind.DOORS),
  STOP(Kind.DOORS),
  CONT(Kind.DOORS),
  START(Kind.DOORS),
  /** A share of a core for a time. */
  STARVE(Kind.DOORS, Arg.number("share", 0.01, 0.99), Arg.number("for_ms", 100, 600_000)),

  /** What the network does between the targets and others. */
  CUT(Kind.ANY, Arg.TO, Arg.WAY),
  HEAL(Kind.ANY, Arg.TO, Arg.WAY),
  RESET(Kind.ANY, Arg.TO),
  DELAY(
      Kind.ANY, Arg.TO, Arg.WAY, Arg.number("ms", 0, 60_000), Arg.optional("jitter_ms", 0, 60_000)),
  LIMIT(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("bytes_per_s", 1, 1e12)),
  DROP(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("share", 0, 1)),
  DUPLICATE(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("share", 0, 1)),
  REORDER(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("share", 0, 1)),
  GARBLE(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("share", 0, 1)),
  BREAK_AFTER(Kind.ANY, Arg.TO, Arg.WAY, Arg.number("bytes", 0, 1e12)),
  /**
   * Sends the first datagrams of each way once more, from where they came or from where nobody is.
   */
  REPLAY(Kind.DOORS, Arg.TO),
  STRAY(Kind.DOORS, Arg.TO),

  /**
   * Template servers: how they work from now on, their ends and starts, and what discovery says of
   * them.
   */
  SERVE(
      Kind.SERVERS,
      Arg.optional("slow", 0.01, 1_000),
      Arg.optional("failing", 0, 1),
      Arg.optional("cutting", 0, 1),
      Arg.optional("hanging", 0, 1),
      Arg.optional("refusing", 0, 1)),
  SERVER_STOP(Kind.SERVERS),
  SERVER_START(Kind.SERVERS),
  LEAVE(Kind.SERVERS),
  JOIN(Kind.SERVERS),

  COUNTER(
      Kind.NONE,
      Arg.optional("calls_per_s", 0.1, 1e6),
      Arg.optional("delay_ms", 0, 60_000),
      Arg.optional("out", 0, 1)),
  COUNTER_FORGET(Kind.NONE),
  /** Discovery's agents of front doors. */
  SILENCE(Kind.DOORS),
  SPEAK(Kind.DOORS),
  LOAD(Kind.NONE, Arg.number("rate", 0, 1e6)),
  /** An operators' call. */
  CALL(Kind.DOORS, Arg.text("path"), Arg.optionalText("method"), Arg.optionalText("body"));

  enum Kind {
    DOORS,
    SERVERS,
    ANY,
    NONE
  }

  enum Form {
    NUMBER,
    OPTIONAL_NUMBER,
    TEXT,
    OPTIONAL_TEXT,
    NAMES
  }

  record Arg(String name, Form form, double least, double most) {

    static final Arg TO = new Arg("to", Form.NAMES, 0, 0);

    /** both, out (what the targets send) or in (what they are sent). */
    static final Arg WAY = new Arg("way", Form.OPTIONAL_TEXT, 0, 0);

    static Arg number(String name, double least, double most) {
      return new Arg(name, Form.NUMBER, least, most);
    }

    static Arg optional(String name, double least, double most) {
      return new Arg(name, Form.OPTIONAL_NUMBER, least, most);
    }

    static Arg text(String name) {
      return new Arg(name, Form.TEXT, 0, 0);
    }

    static Arg optionalText(String name) {
      return new Arg(name, Form.OPTIONAL_TEXT, 0, 0);
    }
  }

  final Kind kind;
  final List<Arg> args;

  Action(Kind kind, Arg... args) {
    this.kind = kind;
    this.args = List.of(args);
  }

  /** As it is written in a schedule. */
  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
