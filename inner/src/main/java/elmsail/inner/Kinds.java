package elmsail.inner;

import elmsail.inner.words.AcceptAsk;
import elmsail.inner.words.Ballot;
import elmsail.inner.words.Blob;
import elmsail.inner.words.BlobAsk;
import elmsail.inner.words.BlobTold;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.CopyAsk;
import elmsail.inner.words.CopyTold;
import elmsail.inner.words.Note;
import elmsail.inner.words.PrepareAsk;
import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.ReadAsk;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;

/** The numbers of the messages' types on the wire: a type's place in the table; append only. */
final class Kinds {

  /** No type: frames without a message. */
  static final int NONE = 0;

  private static final Class<?>[] TABLE = {
    null,
    PullAsk.class,
    PullTold.class,
    PrepareAsk.class,
    AcceptAsk.class,
    ReadAsk.class,
    VoteTold.class,
    ClaimAsk.class,
    ClaimTold.class,
    CopyAsk.class,
    CopyTold.class,
    Note.class,
    Ballot.class,
    Blob.class,
    Roster.class,
    Seat.class,
    Seating.class,
    BlobAsk.class,
    BlobTold.class,
  };

  private Kinds() {
  }

  /** One more than the highest number. */
  static int size() {
    return TABLE.length;
  }

  /** Null if no type has that number. */
  static Class<?> type(int number) {
    return number > NONE && number < TABLE.length ? TABLE[number] : null;
  }

  /** NONE if the type has no number. */
  static int number(Class<?> type) {
    for (int i = 1; i < TABLE.length; i++) {
      if (TABLE[i] == type) {
        return i;
      }
    }
    return NONE;
  }
}
