package elmsail.rehearsal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.inner.words.Note;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The simulated network does to messages, timers and processes what it says, alike for one seed. */
class SimNetTest {

  private static final String A = "10.0.0.1:7";
  private static final String B = "10.0.0.2:7";

  private final HandTimers timers = new HandTimers();
  private final SimNet net = new SimNet(5, timers);
  private Node a;
  private Node b;
  private final List<Note> heard = new ArrayList<>();

  @BeforeEach
  void start() {
    net.delay(2, 2);
    a = net.node(A);
    b = net.node(B);
    echo(b);
  }

  private void echo(Node node) {
    node.answering().on(Note.class, ask -> {
      heard.add(ask);
      return CompletableFuture.completedFuture(ask);
    });
  }

  private static Note note(String kind) {
    Note note = new Note();
    note.kind = kind;
    return note;
  }

  private CompletableFuture<Note> ask() {
    return a.caller().call(B, note("x"), Note.class, 1_000);
  }

  private static Code codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  @Test
  void callTakesTheDelayOfBothWaysAndSharesNothing() {
    net.delay(B, A, 5, 5);
    Note asked = note("x");
    CompletableFuture<Note> call = a.caller().call(B, asked, Note.class, 1_000);
    timers.pass(6);
    assertThat(heard.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.pass(1);
    assertThat(call.join().kind, is("x"));
    assertThat(heard.get(0), is(not(sameInstance(asked))));
    assertThat(call.join(), is(not(sameInstance(heard.get(0)))));
  }

  @Test
  void failedHandlerFailsTheCallWithItsCode() {
    b.answering().on(Note.class,
        ask -> CompletableFuture.failedFuture(new ElmsailException(Code.NOT_SEATED, "x")));
    CompletableFuture<Note> call = ask();
    timers.pass(4);
    assertThat(codeOf(call), is(Code.NOT_SEATED));
  }

  @Test
  void faultsOfHandlersAreKeptForTheTest() {
    IllegalStateException fault = new IllegalStateException("a fault");
    b.answering().on(Note.class, ask -> {
      throw fault;
    });
    CompletableFuture<Note> call = ask();
    timers.pass(4);
    assertThat(codeOf(call), is(Code.FAULT));
    assertThat(net.faults(), contains(fault));
  }

  @Test
  void cutWayIsSilentAndTheOtherWayIsNot() {
    net.cut(B, A);
    CompletableFuture<Note> call = ask();
    timers.pass(999);
    assertThat("the ask gets there", heard.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.pass(1);
    assertThat(codeOf(call), is(Code.SILENT));
    net.heal(B, A);
    net.cut(A, B);
    CompletableFuture<Note> next = ask();
    timers.pass(1_000);
    assertThat(codeOf(next), is(Code.SILENT));
    assertThat(heard.size(), is(1));
    net.healAll();
    CompletableFuture<Note> last = ask();
    timers.pass(4);
    assertThat(last.join().kind, is("x"));
  }

  @Test
  void cutTakesWhatIsUnderWay() {
    ask();
    timers.pass(1);
    net.isolate(A);
    timers.pass(10);
    assertThat(heard, is(empty()));
    assertThat(net.lost(), is(1L));
  }

  @Test
  void resetBreaksAtOnceAndTheAskMayArrive() {
    CompletableFuture<Note> open = ask();
    net.reset(A, B);
    assertThat(open.isDone(), is(false));
    timers.pass(0);
    assertThat(codeOf(open), is(Code.BROKEN));
    for (int i = 0; i < 40; i++) {
      CompletableFuture<Note> call = ask();
      timers.pass(0);
      assertThat(codeOf(call), is(Code.BROKEN));
    }
    timers.pass(10);
    assertThat(heard.size(), is(greaterThan(5)));
    assertThat(heard.size(), is(lessThan(36)));
  }

  @Test
  void brokenOnceIsSoundAfterwards() {
    CompletableFuture<Note> open = ask();
    net.breakOnce(A, B);
    CompletableFuture<Note> next = ask();
    timers.pass(4);
    assertThat(codeOf(open), is(Code.BROKEN));
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void refusedIsUnsentAtOnceAndNothingArrives() {
    net.refuse(A, B);
    CompletableFuture<Note> call = ask();
    assertThat(call.isDone(), is(false));
    timers.pass(0);
    assertThat(codeOf(call), is(Code.UNSENT));
    timers.pass(100);
    assertThat(heard, is(empty()));
  }

  @Test
  void callToNobodyIsUnsent() {
    CompletableFuture<Note> call = a.caller().call("10.0.0.9:7", note("x"), Note.class, 1_000);
    timers.pass(2);
    assertThat(codeOf(call), is(Code.UNSENT));
  }

  @Test
  void lossTakesItsPart() {
    net.loss(0.5);
    int answered = 0;
    for (int i = 0; i < 400; i++) {
      CompletableFuture<Note> call = ask();
      timers.pass(1_000);
      if (call.isCompletedExceptionally()) {
        assertThat(codeOf(call), is(Code.SILENT));
      } else {
        answered++;
      }
    }
    assertThat(answered, is(greaterThan(60)));
    assertThat(answered, is(lessThan(140)));
    assertThat(heard.size(), is(greaterThan(answered)));
  }

  @Test
  void killedProcessWithAWordBreaksItsCallers() {
    b.answering().on(Note.class, ask -> new CompletableFuture<>());
    CompletableFuture<Note> open = ask();
    timers.pass(5);
    net.kill(B, true);
    timers.pass(0);
    assertThat(codeOf(open), is(Code.BROKEN));
    CompletableFuture<Note> next = ask();
    timers.pass(2);
    assertThat(codeOf(next), is(Code.UNSENT));
  }

  @Test
  void machineWithoutPowerIsSilent() {
    CompletableFuture<Note> open = ask();
    timers.pass(1);
    net.kill(B, false);
    timers.pass(500);
    assertThat(open.isDone(), is(false));
    CompletableFuture<Note> next = ask();
    timers.pass(500);
    assertThat(codeOf(open), is(Code.SILENT));
    timers.pass(SimNet.CONNECT_WITHIN - 500);
    assertThat(codeOf(next), is(Code.UNSENT));
    assertThat(heard, is(empty()));
  }

  @Test
  void nothingOfADeadProcessRuns() {
    List<String> ran = new ArrayList<>();
    b.timers().after(10, () -> ran.add("timer"));
    a.answering().on(Note.class, ask -> new CompletableFuture<>());
    CompletableFuture<Note> own = b.caller().call(A, note("x"), Note.class, 50);
    own.whenComplete((told, thrown) -> ran.add("call"));
    CompletableFuture<Note> held = new CompletableFuture<>();
    b.answering().on(Note.class, ask -> held);
    CompletableFuture<Note> call = ask();
    timers.pass(5);
    net.kill(B, false);
    held.complete(note("late"));
    b.timers().soon(() -> ran.add("soon"));
    timers.pass(900);
    assertThat(ran, is(empty()));
    assertThat(call.isDone(), is(false));
    assertThat(b.caller().call(A, note("x"), Note.class, 5).isDone(), is(false));
    timers.pass(100);
    assertThat(codeOf(call), is(Code.SILENT));
  }

  @Test
  void newProcessAtTheAddressDoesNotGetTheOldOnesMessages() {
    CompletableFuture<Note> call = ask();
    timers.pass(1);
    Node again = net.node(B);
    echo(again);
    assertThat(b.alive(), is(false));
    timers.pass(1_000);
    assertThat(call.isCompletedExceptionally(), is(true));
    assertThat(heard, is(empty()));
    CompletableFuture<Note> next = ask();
    timers.pass(4);
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void frozenProcessRunsWhatWasHeldMessagesFirst() {
    List<String> ran = new ArrayList<>();
    b.answering().on(Note.class, ask -> {
      ran.add("message");
      return CompletableFuture.completedFuture(ask);
    });
    Timers.Timer cancelled = b.timers().after(3, () -> ran.add("cancelled"));
    b.timers().after(1, () -> ran.add("first"));
    b.timers().after(50, () -> ran.add("second"));
    net.freeze(B);
    CompletableFuture<Note> call = ask();
    timers.pass(1_000);
    assertThat(codeOf(call), is(Code.SILENT));
    assertThat(ran, is(empty()));
    cancelled.cancel();
    net.thaw(B);
    timers.pass(10);
    assertThat(ran, contains("message", "first", "second"));
  }

  @Test
  void frozenCallerFindsTheAnswerBeforeItsStaleTimer() {
    CompletableFuture<Note> call = ask();
    timers.pass(1);
    net.freeze(A);
    timers.pass(5_000);
    assertThat(call.isDone(), is(false));
    net.thaw(A);
    timers.pass(0);
    assertThat(call.join().kind, is("x"));
  }

  @Test
  void ownCallsGoThroughNoNetwork() {
    echo(a);
    net.loss(1);
    CompletableFuture<Note> call = a.caller().call(A, note("own"), Note.class, 10);
    assertThat(call.isDone(), is(false));
    timers.pass(0);
    assertThat(call.join().kind, is("own"));
  }

  @Test
  void equalSeedsGoAlikeAndOthersDoNot() {
    assertThat(run(1), is(run(1)));
    assertThat(run(2), is(run(2)));
    assertThat(run(1), is(not(run(2))));
  }

  private static List<String> run(long seed) {
    HandTimers timers = new HandTimers();
    SimNet net = new SimNet(seed, timers);
    net.delay(1, 30);
    net.loss(0.2);
    List<String> log = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      net.node("n" + i).answering().on(Note.class, ask -> CompletableFuture.completedFuture(ask));
    }
    for (int i = 0; i < 60; i++) {
      String to = "n" + i % 3;
      String name = "call " + i;
      net.at("n" + (i + 1) % 3).caller().call(to, note(name), Note.class, 200)
          .whenComplete((told, thrown) -> log.add(timers.now() + name + (told == null ? "failed" : "told")));
      timers.pass(3);
      if (i == 30) {
        net.kill("n1");
        net.node("n1");
      }
    }
    timers.pass(1_000);
    log.add("digest " + net.digest());
    return log;
  }
}
