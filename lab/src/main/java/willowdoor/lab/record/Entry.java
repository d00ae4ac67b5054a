package willowdoor.lab.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * One thing that was observed, as one line of the records. Begin and end are microseconds of the
 * run's one clock; what takes no time has both alike. What is written when it ends stands behind
 * what began later.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Entry.Run.class, name = "run"),
  @JsonSubTypes.Type(value = Entry.Life.class, name = "life"),
  @JsonSubTypes.Type(value = Entry.Fault.class, name = "fault"),
  @JsonSubTypes.Type(value = Entry.Asked.class, name = "request"),
  @JsonSubTypes.Type(value = Entry.Attempt.class, name = "attempt"),
  @JsonSubTypes.Type(value = Entry.Count.class, name = "count"),
  @JsonSubTypes.Type(value = Entry.Told.class, name = "told"),
  @JsonSubTypes.Type(value = Entry.Seen.class, name = "seen"),
  @JsonSubTypes.Type(value = Entry.Traffic.class, name = "traffic"),
  @JsonSubTypes.Type(value = Entry.HeldUp.class, name = "held_up")
})
public sealed interface Entry {

  long begin();

  long end();

  /**
   * What the run goes by: the schedule's name and seed, the settings as every front door was given
   * them, and the bounds that its checkers take.
   */
  record Run(
      long begin,
      long end,
      String name,
      long seed,
      long unixMs,
      List<String> doors,
      JsonNode settings,
      Map<String, Double> bounds)
      implements Entry {}

  /**
   * A front door's process from its start to its end; ready is when it said so, 0 where it never
   * did.
   *
   * @param how what ended it: KILL, TERM, "TERM, KILL" where the one did not do it, or "itself"
   */
  record Life(long begin, long end, String door, long pid, long ready, String how, int exit)
      implements Entry {}

  /**
   * Something that was done to the parties by the schedule, from when it was in force to when it
   * was over: what another step ends, or the end of the run.
   */
  record Fault(long begin, long end, String action, List<String> targets, Map<String, Object> args)
      implements Entry {}

  /**
   * A client's request: begin is when its last byte was written, end when the last byte of its
   * answer came, or when nothing more was to be had. A request that the front door's machine never
   * accepted was not taken.
   *
   * @param status the answer's, or 0 where none came whole
   * @param how answered, broken (the connection ended first), silent (the client left),
   *     unreachable, or no connection (the client's own bound)
   * @param body what tells one server's answer from all others: the answer's body, or its first 128
   *     characters
   * @param resent when it was written once more, as a kept connection ended with it; else 0
   */
  record Asked(
      long begin,
      long end,
      String id,
      String type,
      String plan,
      String customer,
      int units,
      int timeoutMs,
      String door,
      boolean taken,
      int status,
      String how,
      String body,
      long resent)
      implements Entry {}

  /**
   * An attempt at a template server, from its last byte to its answer's, or to when it was given
   * up.
   *
   * @param began when the server began the work, or 0: then it never ran
   * @param how served, error, not_started, gone (its sender left), hung, cut
   * @param body the answer's body where it was served
   */
  record Attempt(
      long begin, long end, String id, String server, long began, String how, String body)
      implements Entry {}

  /** A call to the counter. How: ok, busy, lost (its caller left). */
  record Count(
      long begin, long end, String door, String name, double amount, double total, String how)
      implements Entry {}

  /** What discovery had written to a front door: a version, and the entries that it told. */
  record Told(
      long begin, long end, String door, long version, boolean full, Map<String, String> states)
      implements Entry {}

  /** What a front door answered on its operators' address. Status 0: no answer. */
  record Seen(long begin, long end, String door, String path, int status, JsonNode body)
      implements Entry {}

  /** What a party sent to the others through the relay in that time. */
  record Traffic(
      long begin, long end, String party, long datagrams, long datagramBytes, long streamBytes)
      implements Entry {}

  /** The lab itself stood still: what it observed in that time came late to its own clock. */
  record HeldUp(long begin, long end, String loop) implements Entry {}
}
