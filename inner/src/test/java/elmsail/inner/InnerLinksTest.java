package elmsail.inner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.inner.words.Note;
import elmsail.inner.words.ReadAsk;
import elmsail.inner.words.VoteTold;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two processes' links over loopback, the clock moved by hand. */
class InnerLinksTest {

  private final World world = new World();
  private final InnerLinks a = world.links();
  private final InnerLinks b = world.links();

  @AfterEach
  void close() {
    a.close();
    b.close();
    world.close();
  }

  private static Note note(String kind, int bytes) {
    Note note = new Note();
    note.kind = kind;
    note.bytes = new byte[bytes];
    return note;
  }

  private static Code codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  private CompletableFuture<Note> ask(String kind) {
    return a.call(b.address(), note(kind, 10), Note.class, 2_000);
  }

  private void echo() {
    b.on(Note.class, ask -> CompletableFuture.completedFuture(ask));
  }

  @Test
  void callIsAnswered() {
    b.on(ReadAsk.class, ask -> {
      VoteTold told = new VoteTold();
      told.value = ask.key.getBytes();
      return CompletableFuture.completedFuture(told);
    });
    ReadAsk ask = new ReadAsk();
    ask.key = "lot/5";
    CompletableFuture<VoteTold> call = a.call(b.address(), ask, VoteTold.class, 500);
    world.turnUntil(call::isDone);
    assertThat(call.join().value, equalTo("lot/5".getBytes()));
  }

  @Test
  void manyCallsShareOneConnectionAndAreAnsweredInAnyOrder() {
    List<CompletableFuture<Note>> held = new ArrayList<>();
    b.on(Note.class, ask -> {
      held.add(new CompletableFuture<>());
      return held.get(held.size() - 1);
    });
    List<CompletableFuture<Note>> calls = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      calls.add(ask("n" + i));
    }
    world.turnUntil(() -> held.size() == 100);
    for (int i = 99; i >= 0; i--) {
      held.get(i).complete(note("a" + i, 0));
    }
    for (int i = 0; i < 100; i++) {
      world.turnUntil(calls.get(i)::isDone);
      assertThat(calls.get(i).join().kind, is("a" + i));
    }
    assertThat(a.counts().links, is(1L));
  }

  @Test
  void bigAnswersComeWhole() {
    b.on(Note.class, ask -> CompletableFuture.completedFuture(note("big", 5 << 20)));
    CompletableFuture<Note> call = ask("x");
    world.turnUntil(call::isDone);
    assertThat(call.join().bytes.length, is(5 << 20));
  }

  @Test
  void failedHandlerSendsItsCode() {
    b.on(Note.class, ask -> CompletableFuture.failedFuture(new ElmsailException(Code.NOT_SEATED, "x")));
    b.on(ReadAsk.class, ask -> {
      throw new IllegalStateException("a fault");
    });
    CompletableFuture<Note> call = ask("x");
    CompletableFuture<VoteTold> faulty = a.call(b.address(), new ReadAsk(), VoteTold.class, 500);
    world.turnUntil(() -> call.isDone() && faulty.isDone());
    assertThat(codeOf(call), is(Code.NOT_SEATED));
    assertThat(codeOf(faulty), is(Code.FAULT));
    assertThat(a.counts().failures, is(2L));
  }

  @Test
  void askThatNobodyHandlesIsAFault() {
    CompletableFuture<Note> call = ask("x");
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(Code.FAULT));
  }

  @Test
  void answerOfAnotherTypeIsGarbled() {
    b.on(Note.class, ask -> CompletableFuture.completedFuture(new VoteTold()));
    CompletableFuture<Note> call = ask("x");
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(Code.GARBLED));
  }

  @Test
  void silentHandlerFailsTheCallInTimeAndItsLateAnswerIsDropped() {
    CompletableFuture<Note> held = new CompletableFuture<>();
    b.on(Note.class, ask -> held);
    CompletableFuture<Note> call = a.call(b.address(), note("x", 1), Note.class, 300);
    world.turnUntil(() -> b.counts().asks == 1);
    world.pass(299);
    assertThat(call.isDone(), is(false));
    world.pass(1);
    assertThat(codeOf(call), is(Code.SILENT));
    held.complete(note("late", 1));
    world.turnUntil(() -> a.counts().late == 1);
    assertThat(a.counts().answers, is(0L));
  }

  @Test
  void deadPortFailsUnsentAndIsLeftAloneForAWhile() {
    String gone = b.address();
    b.close();
    world.turn();
    CompletableFuture<Note> first = a.call(gone, note("x", 1), Note.class, 5_000);
    world.turnUntil(first::isDone);
    assertThat(codeOf(first), is(Code.UNSENT));
    assertThat(a.counts().refusedConnects, is(1L));
    CompletableFuture<Note> second = a.call(gone, note("x", 1), Note.class, 5_000);
    assertThat(second.isDone(), is(false));
    world.turnUntil(second::isDone);
    assertThat(codeOf(second), is(Code.UNSENT));
    assertThat(a.counts().refusedConnects, is(1L));
    world.pass(Peer.FIRST_PAUSE);
    CompletableFuture<Note> third = a.call(gone, note("x", 1), Note.class, 5_000);
    world.turnUntil(third::isDone);
    assertThat(a.counts().refusedConnects, is(2L));
    world.pass(Peer.FIRST_PAUSE);
    CompletableFuture<Note> fourth = a.call(gone, note("x", 1), Note.class, 5_000);
    world.turnUntil(fourth::isDone);
    assertThat("the pause grows", a.counts().refusedConnects, is(2L));
  }

  @Test
  void whatIsNoAddressIsUnsent() {
    for (String bad : List.of("", "nowhere", "host.example:80", "127.0.0.1:x", "127.0.0.1:70000")) {
      CompletableFuture<Note> call = a.call(bad, note("x", 1), Note.class, 5_000);
      assertThat(call.isDone(), is(false));
      world.turnUntil(call::isDone);
      assertThat(bad, codeOf(call), is(Code.UNSENT));
    }
  }

  @Test
  void closedPeerBreaksOpenCallsAndTheNextOneConnectsAnew() {
    b.on(Note.class, ask -> new CompletableFuture<>());
    CompletableFuture<Note> call = ask("x");
    world.turnUntil(() -> b.counts().asks == 1);
    String address = b.address();
    b.close();
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(Code.BROKEN));
    InnerLinks again = new InnerLinks(world.loop, world.timers, address);
    again.on(Note.class, ask -> CompletableFuture.completedFuture(ask));
    CompletableFuture<Void> up = again.listen();
    world.turnUntil(up::isDone);
    up.join();
    world.pass(Peer.LONGEST_PAUSE);
    CompletableFuture<Note> next = a.call(address, note("y", 1), Note.class, 2_000);
    world.turnUntil(next::isDone);
    assertThat(next.join().kind, is("y"));
    again.close();
  }

  @Test
  void callsThatWaitForTheConnectionAreBounded() {
    echo();
    List<CompletableFuture<Note>> calls = new ArrayList<>();
    for (int i = 0; i < Peer.MOST_WAITING; i++) {
      calls.add(ask("x"));
    }
    CompletableFuture<Note> over = ask("over");
    assertThat("never inside the call", over.isDone(), is(false));
    world.turnUntil(over::isDone);
    assertThat(codeOf(over), is(Code.FULL));
    for (CompletableFuture<Note> call : calls) {
      world.turnUntil(call::isDone);
      assertThat(call.join().kind, is("x"));
    }
  }

  @Test
  void bytesOnTheirWayToAPeerAreBounded() {
    echo();
    CompletableFuture<Note> first = ask("x");
    world.turnUntil(first::isDone);
    CompletableFuture<Note> big = a.call(b.address(), note("big", 5 << 20), Note.class, 2_000);
    CompletableFuture<Note> over = a.call(b.address(), note("over", 5 << 20), Note.class, 2_000);
    CompletableFuture<Note> small = a.call(b.address(), note("small", 1 << 20), Note.class, 2_000);
    world.turnUntil(() -> big.isDone() && over.isDone() && small.isDone());
    assertThat(big.join().kind, is("big"));
    assertThat(codeOf(over), is(Code.FULL));
    assertThat(small.join().kind, is("small"));
  }

  @Test
  void messageThatIsTooLongIsFullAndTheLinkStays() {
    b.on(Note.class, ask -> CompletableFuture.completedFuture(note("x", ask.bytes.length << 20)));
    CompletableFuture<Note> sent = a.call(b.address(), note("x", 17 << 20), Note.class, 2_000);
    CompletableFuture<Note> answered = a.call(b.address(), note("x", 17), Note.class, 2_000);
    CompletableFuture<Note> fine = a.call(b.address(), note("x", 2), Note.class, 2_000);
    world.turnUntil(() -> sent.isDone() && answered.isDone() && fine.isDone());
    assertThat(codeOf(sent), is(Code.FULL));
    assertThat(codeOf(answered), is(Code.FULL));
    assertThat(fine.join().bytes.length, is(2 << 20));
    assertThat(a.counts().links, is(1L));
  }

  @Test
  void ownCallsAreAnsweredLaterAndShareNothing() {
    List<Note> seen = new ArrayList<>();
    a.on(Note.class, ask -> {
      seen.add(ask);
      return CompletableFuture.completedFuture(ask);
    });
    Note asked = note("own", 3);
    CompletableFuture<Note> call = a.call(a.address(), asked, Note.class, 100);
    assertThat(call.isDone(), is(false));
    assertThat(seen.size(), is(0));
    world.timers.pass(0);
    assertThat(call.join().kind, is("own"));
    assertThat(seen.get(0), is(not(sameInstance(asked))));
    assertThat(call.join(), is(not(sameInstance(seen.get(0)))));
    assertThat(a.counts().links, is(0L));
  }

  @Test
  void ownCallsFailWithTheCodeOrInTime() {
    CompletableFuture<Note> held = new CompletableFuture<>();
    a.on(Note.class, ask -> ask.kind.equals("held") ? held
        : CompletableFuture.failedFuture(new ElmsailException(Code.DISK, "x")));
    CompletableFuture<Note> failed = a.call(a.address(), note("x", 1), Note.class, 100);
    CompletableFuture<Note> silent = a.call(a.address(), note("held", 1), Note.class, 100);
    world.timers.pass(99);
    assertThat(codeOf(failed), is(Code.DISK));
    assertThat(silent.isDone(), is(false));
    world.timers.pass(1);
    assertThat(codeOf(silent), is(Code.SILENT));
    held.complete(note("late", 1));
    world.timers.pass(0);
    assertThat(a.counts().late, is(1L));
  }

  @Test
  void closedLinksFailTheirCalls() {
    b.on(Note.class, ask -> new CompletableFuture<>());
    CompletableFuture<Note> open = ask("open");
    world.turnUntil(() -> b.counts().asks == 1);
    a.close();
    CompletableFuture<Note> after = ask("after");
    world.turnUntil(() -> open.isDone() && after.isDone());
    assertThat(codeOf(open), is(Code.BROKEN));
    assertThat(codeOf(after), is(Code.UNSENT));
  }

  @Test
  void addressInUseIsToldByTheFuture() {
    InnerLinks c = new InnerLinks(world.loop, world.timers, b.address());
    CompletableFuture<Void> up = c.listen();
    world.turnUntil(up::isDone);
    assertThat(codeOf(up), is(Code.BAD_SETTINGS));
  }
}
